/// \file
/// One request of a caller or operator and its answer.
#pragma once

#include "base/Error.h"
#include "http/BodyBudget.h"
#include "http/Connection.h"
#include "http/HttpSettings.h"
#include "http/HttpTarget.h"

#include <functional>
#include <string>
#include <vector>

namespace banyanpick {

/// A complete answer.
struct HttpAnswer {
  unsigned Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  Duration RetryAfter{}; ///< Zero: no Retry-After header.
  /// Whether callers of the protocol accept fractions of a second in
  /// Retry-After.
  bool FractionalRetryAfter = false;
};

/// The answer of another server, to be forwarded: its status, its headers
/// except for the hop-by-hop headers, and its body.
struct RelayedAnswer {
  http::response_header<> Head;
  std::string Body;
};

/// Returns an answer with the body `{"error": {"kind": K, "message": M}}`.
HttpAnswer errorAnswer(unsigned Status, ErrorKind Kind,
                       std::string_view Message);

/// Returns the answer for a thrown error, with the status for its kind.
HttpAnswer errorAnswer(const Error &Thrown);

/// How an exchange ended, as far as the sender can tell.
enum class ExchangeEnd {
  Complete,   ///< The whole answer was given to the socket.
  CallerLeft, ///< The caller closed or reset its connection first.
  Cut,        ///< This process ended the connection within the answer.
  NotSent,    ///< Writing failed or took longer than the write timeout.
  NoAnswer,   ///< There was no answer.
};

/// Gives a handler access to a request and sends the answer. Used on the thread
/// of the connection only.
class HttpExchange {
public:
  using Request = http::request<http::string_body>;

  HttpExchange(std::shared_ptr<Connection> Peer, Request Req, HttpTarget Target,
               const HttpSettings &Values)
      : Peer(std::move(Peer)), Req(std::move(Req)),
        ParsedTarget(std::move(Target)), Values(Values) {}
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  /// Returns the complete request.
  const Request &request() const { return this->Req; }
  http::verb method() const { return this->Req.method(); }
  const HttpTarget &target() const { return this->ParsedTarget; }
  std::string_view header(std::string_view Name) const;
  const std::string &body() const { return this->Req.body(); }
  /// Frees the memory of the body after it was parsed.
  void dropBody() { this->Req.body() = std::string(); }
  net::any_io_executor executor() const { return this->Peer->executor(); }

  /// Adds a header to the answer.
  void addHeader(std::string_view Name, std::string_view Value);

  /// Sends a complete answer. Returns false if the peer has disconnected, as do
  /// the other functions that send.
  Task<bool> respond(HttpAnswer Content);

  /// Sends a complete answer of another server.
  Task<bool> respond(RelayedAnswer Content);

  /// Starts an answer of server-sent events.
  Task<bool> beginEvents();
  /// Starts a chunked answer with the header of another server's answer.
  Task<bool> beginEvents(http::response_header<> Head);
  /// Sends formatted events. Completes when the socket has accepted them, which
  /// depends on the peer's receive window.
  Task<bool> sendEvents(std::string_view Formatted);
  Task<bool> endEvents();

  /// Resets the connection, so that an answer in progress does not look
  /// complete.
  void abort();

  /// Calls \p Callback if the peer disconnects before this exchange ends.
  void onDisconnect(std::function<void()> Callback);

  bool isAnswered() const { return this->Answered; }
  /// To be called when the answer is complete or has been given up.
  ExchangeEnd end() const;
  /// Returns whether the connection can be used for another request. It can't
  /// while an event stream has no end.
  bool keepsAlive() const { return this->KeepsAlive && !this->EventsOpen; }

private:
  struct DisconnectWatch {
    std::function<void()> Callback;
  };

  static Task<void> watch(std::shared_ptr<Connection> Peer,
                          std::shared_ptr<DisconnectWatch> Watch);
  /// Closes the connection after this exchange if sending failed. Returns
  /// whether it succeeded.
  bool updateKeepAlive(const ErrorCode &Failure);
  void stopWatching();
  /// Sends any complete answer.
  Task<bool> writeAnswer(Connection::Answer Answer);
  /// Sends the header of any event stream.
  Task<bool> writeEventsHead(Connection::Header Head);
  template <class Answer> void addHeaders(Answer &Message) const;
  /// Returns whether the caller and the server's settings allow to keep the
  /// connection open after this answer.
  bool wantsKeepAlive() const;

  std::shared_ptr<Connection> Peer;
  Request Req;
  HttpTarget ParsedTarget;
  const HttpSettings &Values;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::shared_ptr<DisconnectWatch> Watch;
  bool Answered = false;
  bool KeepsAlive = true;
  bool EventsOpen = false;
  bool CallerLeft = false;
  bool Aborted = false;
  bool WriteFailed = false;
};

} // namespace banyanpick
