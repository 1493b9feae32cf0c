/// \file
/// The server for callers and operators.
#pragma once

#include "gateway/Configuration.h"
#include "http/HttpExchange.h"
#include "kernel/Upstream.h"

#include <atomic>
#include <span>

namespace banyanpick {

/// Answers requests. Called on the thread of the request's connection.
class HttpHandler {
public:
  virtual ~HttpHandler() = default;
  /// A thrown Error becomes its typed answer.
  virtual Task<void> serve(HttpExchange &Exchange) = 0;
};

/// Accepts connections and spreads them over threads, each with its own
/// io_context. It must outlive the threads' runs.
class HttpServer {
public:
  /// \p Tls may be null. Throws Error(Unavailable) when it can't listen.
  HttpServer(std::span<net::io_context *const> Threads, const Address &Listen,
             HttpSettings Values, HttpHandler &Handler, net::ssl::context *Tls);

  /// The port it got; for tests that listen at port 0.
  std::uint16_t port() const { return this->Acceptor.local_endpoint().port(); }

  /// Accepts no more connections. On any thread.
  void stop();

  /// Bounds for requests read from now on. On the server's thread, when it has
  /// only one.
  void setLimits(const CallerLimits &NewLimits);

  /// From now on each answer tells the caller that its connection closes. On
  /// the server's thread, when it has only one.
  void closeAfterAnswers() { this->Values.CloseAfterAnswer = true; }

  std::uint64_t connections() const { return this->OpenConnections.load(); }
  std::uint64_t bodyBytes() const { return this->Budget.reservedBytes(); }

private:
  Task<void> acceptConnections();
  Task<void> serveConnection(std::shared_ptr<Connection> Peer);
  /// Serves one request; false: the connection ends.
  Task<bool> serveOne(std::shared_ptr<Connection> Peer);
  Task<bool> serveBody(std::shared_ptr<Connection> Peer,
                       Connection::Parser &Parser);
  /// Reads the body under the bound on all bodies; false: the connection ends.
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
  std::atomic<std::uint64_t> OpenConnections = 0;
};

} // namespace banyanpick
