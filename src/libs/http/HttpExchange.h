/// \file
/// One request of a caller or operator, and the way to answer it.
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

/// A whole answer.
struct HttpAnswer {
  unsigned Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  Duration RetryAfter{}; ///< Zero: no such header.
  /// Callers of this protocol read fractions of a second in Retry-After.
  bool FractionalRetryAfter = false;
};

/// An answer of another server that is passed on: its status, its headers but
/// those of its connection, and its body.
struct RelayedAnswer {
  http::response_header<> Head;
  std::string Body;
};

/// `{"error": {"kind": K, "message": M}}`.
HttpAnswer errorAnswer(unsigned Status, ErrorKind Kind,
                       std::string_view Message);

/// The answer to a thrown error, with the status of its kind.
HttpAnswer errorAnswer(const Error &Thrown);

/// Used on the thread of the connection only.
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

  /// Everything that the caller sent.
  const Request &request() const { return this->Req; }
  http::verb method() const { return this->Req.method(); }
  const HttpTarget &target() const { return this->ParsedTarget; }
  std::string_view header(std::string_view Name) const;
  const std::string &body() const { return this->Req.body(); }
  /// Frees the body once it is understood.
  void dropBody() { this->Req.body() = std::string(); }
  net::any_io_executor executor() const { return this->Peer->executor(); }

  /// Adds a header to the answer to come.
  void addHeader(std::string_view Name, std::string_view Value);

  /// Sends a whole answer. False: the peer is gone.
  Task<bool> respond(HttpAnswer Content);

  /// Sends a whole answer of another server.
  Task<bool> respond(RelayedAnswer Content);

  /// Starts an answer of server-sent events.
  Task<bool> beginEvents();
  /// Starts the answer in chunks that another server began.
  Task<bool> beginEvents(http::response_header<> Head);
  /// Sends events already formatted; ends when the peer's window took them.
  Task<bool> sendEvents(std::string_view Formatted);
  Task<bool> endEvents();

  /// Ends the connection, so that an answer that has begun does not look whole.
  void abort();

  /// Calls \p Then when the peer hangs up before this exchange ends.
  void onDisconnect(std::function<void()> Callback);

  bool isAnswered() const { return this->Answered; }
  /// Whether the connection can take another request; not after events
  /// without an end.
  bool keepsAlive() const { return this->KeepsAlive && !this->EventsOpen; }

private:
  struct DisconnectWatch {
    std::function<void()> Callback;
  };

  static Task<void> watch(std::shared_ptr<Connection> Peer,
                          std::shared_ptr<DisconnectWatch> Watch);
  bool updateKeepAlive(const ErrorCode &Failure);
  void stopWatching();
  /// What all whole answers have in common.
  Task<bool> writeAnswer(Connection::Answer Answer);
  /// What the beginnings of all streams of events have in common.
  Task<bool> writeEventsHead(Connection::Header Head);
  template <class Answer> void addHeaders(Answer &Message) const;
  /// Whether the connection is kept after this answer, by the caller's word and
  /// the server's settings.
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
};

} // namespace banyanpick
