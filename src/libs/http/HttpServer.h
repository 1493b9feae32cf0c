/// \file
/// The HTTP server for callers and operators.
#pragma once

#include "gateway/Configuration.h"
#include "http/HttpExchange.h"
#include "http/IdleConnections.h"
#include "kernel/Upstream.h"

#include <atomic>
#include <span>

namespace banyanpick {

/// Answers requests. Called on the thread of the connection.
class HttpHandler {
public:
  virtual ~HttpHandler() = default;
  /// A thrown Error is converted to an error answer of its kind.
  virtual Task<void> serve(HttpExchange &Exchange) = 0;
};

/// Accepts connections and distributes them over threads, each with its own
/// io_context. The server must exist until the io_contexts have stopped.
class HttpServer {
public:
  /// \p Tls may be null. Throws Error(Unavailable) if the server can't listen
  /// at the address.
  HttpServer(std::span<net::io_context *const> Threads, const Address &Listen,
             HttpSettings Values, HttpHandler &Handler, net::ssl::context *Tls);

  /// Returns the port in use. For tests that listen at port 0.
  std::uint16_t port() const { return this->Acceptor.local_endpoint().port(); }

  /// Accepts no further connections, closes the idle ones, and closes each
  /// other one after the answer to its request. Nothing is read that is not
  /// answered: when connections() is zero, the server can be destroyed without
  /// losing a request. Thread-safe.
  void stop();

  /// Sets limits for requests read from now on. May be called only on the
  /// server's thread, and only if the server has one thread.
  void setLimits(const CallerLimits &NewLimits);

  /// Closes each connection after its next answer, which announces the close.
  /// May be called only on the server's thread, and only if the server has one
  /// thread.
  void closeAfterAnswers() { this->Values.CloseAfterAnswer = true; }

  /// Returns the number of open connections.
  std::uint64_t connections() const { return this->OpenConnections.load(); }
  std::uint64_t bodyBytes() const { return this->Budget.reservedBytes(); }

private:
  Task<void> acceptConnections();
  Task<void> serveConnection(std::shared_ptr<Connection> Peer);
  /// Waits for the first byte of a request. Returns false if there is none.
  Task<bool> waitForRequest(std::shared_ptr<Connection> Peer);
  /// Serves one request. Returns false if the connection must be closed.
  Task<bool> serveOne(std::shared_ptr<Connection> Peer);
  Task<bool> serveBody(std::shared_ptr<Connection> Peer,
                       Connection::Parser &Parser);
  /// Reads the body, for which serveBody() has reserved a part of the budget of
  /// all bodies. Returns false if the connection must be closed.
  Task<bool> readBody(std::shared_ptr<Connection> Peer,
                      Connection::Parser &Parser);
  Task<bool> serveRequest(std::shared_ptr<Connection> Peer,
                          HttpExchange::Request Req);
  Task<void> refuse(Connection &Peer, HttpAnswer Content);

  std::vector<net::io_context *> Threads;
  HttpSettings Values;
  HttpHandler &Handler;
  net::ssl::context *Tls;
  Tcp::acceptor Acceptor;
  BodyBudget Budget;
  IdleConnections Idle;
  std::atomic<bool> Stopping = false;
  std::atomic<std::uint64_t> OpenConnections = 0;
};

} // namespace banyanpick
