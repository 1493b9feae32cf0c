#include "app/CallerService.h"

#include "app/AnswerJson.h"
#include "http/AddressText.h"
#include "http/BoundedJson.h"
#include "http/EventParser.h"

namespace banyanpick {

namespace {

using nlohmann::json;

constexpr std::size_t MaxRequestIdBytes = 128;
constexpr std::size_t MaxTokenBytes = 256;
constexpr seconds ResolveTimeout(5);

/// Runs \p Work on \p Executor and resumes on the caller's executor.
template <class Value>
Task<Value> onExecutor(net::any_io_executor Executor, Task<Value> Work) {
  const net::any_io_executor Own = co_await net::this_coro::executor;
  if (Own == Executor)
    co_return co_await std::move(Work);
  co_return co_await net::co_spawn(Executor, std::move(Work),
                                   net::use_awaitable);
}

/// Echoes the caller's request id. Throws when it is malformed.
void echoRequestId(HttpExchange &Exchange) {
  const std::string_view HeaderValue = Exchange.header("X-Request-Id");
  const bool Printable = std::all_of(HeaderValue.begin(), HeaderValue.end(),
                                     [](char C) { return C > ' ' && C < 127; });
  if (HeaderValue.size() > MaxRequestIdBytes || !Printable)
    throw Error(ErrorKind::BadInput, "X-Request-Id is malformed",
                "give at most 128 printable characters without blanks");
  if (!HeaderValue.empty())
    Exchange.addHeader("X-Request-Id", HeaderValue);
}

std::string acceptedEvent(const RequestId &Id, const std::string &Token) {
  return formatEvent(
      "accepted", dumpJson({{"request", Id.Value}, {"resume_token", Token}}));
}

HttpAnswer resolveAnswer(const AnswerResolve &Answer) {
  json Hosts = json::array();
  for (const Address &Host : Answer.Hosts)
    Hosts.push_back(text(Host));
  const auto TtlMs =
      std::chrono::duration_cast<milliseconds>(Answer.TimeToLive).count();
  HttpAnswer Result;
  Result.Body = dumpJson({{"hosts", std::move(Hosts)}, {"ttl_ms", TtlMs}});
  return Result;
}

HttpAnswer unknownToken() {
  return errorAnswer(404, ErrorKind::BadInput,
                     "the resume token is unknown here; send the request anew");
}

ResolveRequest resolveRequestFrom(const HttpExchange &Exchange,
                                  std::uint64_t Id) {
  ResolveRequest Result;
  Result.Id = ResolveRequestId(Id);
  Result.Team.Value = Exchange.target().value("team").value_or("");
  Result.Zone.Value = Exchange.target().value("zone").value_or("");
  return Result;
}

Task<bool> attach(RelayEntry &Stream, std::uint64_t Writer,
                  std::uint64_t Index) {
  co_return Stream.attach(Writer, Index);
}

/// Removes the entry from its table on destruction, unless keep() was called.
class EntryGuard {
public:
  EntryGuard(RelayTable &Table, RequestId Id) : Table(Table), Id(Id) {}
  ~EntryGuard() {
    if (!this->IsKept)
      this->Table.remove(this->Id);
  }
  EntryGuard(const EntryGuard &) = delete;
  EntryGuard &operator=(const EntryGuard &) = delete;

  /// Leaves the entry in the table for a caller that may resume the stream.
  void keep() { this->IsKept = true; }

private:
  RelayTable &Table;
  RequestId Id;
  bool IsKept = false;
};

} // namespace

Task<void> CallerService::serveRequest(HttpExchange &Exchange,
                                       TrafficThread &Thread) {
  echoRequestId(Exchange);
  const bool IsCall = Exchange.target().Path == "/v1/calls";
  CallerRequest Req = IsCall ? callFrom(Exchange) : completionFrom(Exchange);
  Exchange.dropBody();
  const Entry Relay = Thread.relays().open(std::move(Req));
  EntryGuard Guard(Thread.relays(), Relay->id());
  if (!Relay->isStreamed()) {
    co_await this->serveUnstreamed(Exchange, Relay);
    co_return;
  }
  co_await this->serveStreamed(Exchange, Relay);
  if (Relay->isAccepted())
    Guard.keep();
  if (Relay->isEnded())
    Thread.relays().removeLater(Relay->id());
}

Task<void> CallerService::serveUnstreamed(HttpExchange &Exchange, Entry Relay) {
  Exchange.onDisconnect(
      [this, Id = Relay->id()] { this->Events.send(CallerDisconnected{Id}); });
  const FinalAnswer Answer = co_await Relay->finalAnswer();
  const bool IsCompletion =
      Relay->content().Type == RequestContent::Kind::Completion;
  const std::string Text = Relay->chunks().joined();
  HttpAnswer Response = answerTo(Answer, IsCompletion ? &Text : nullptr);
  co_await Exchange.respond(std::move(Response));
}

Task<void> CallerService::serveStreamed(HttpExchange &Exchange, Entry Relay) {
  Exchange.onDisconnect(
      [this, Id = Relay->id()] { this->Events.send(CallerDisconnected{Id}); });
  const RelayEntry::Opening Start = co_await Relay->opening();
  if (Start.Answer && !Start.Accepted) {
    HttpAnswer Response = answerTo(*Start.Answer, nullptr);
    co_await Exchange.respond(std::move(Response));
    co_return;
  }
  if (!co_await Exchange.beginEvents())
    co_return this->Events.send(CallerDisconnected{Relay->id()});
  const std::string Accepted = acceptedEvent(Relay->id(), Start.ResumeToken);
  if (!co_await Exchange.sendEvents(Accepted))
    co_return this->Events.send(CallerDisconnected{Relay->id()});
  co_await this->sendStream(Exchange, Relay, 0);
}

Task<void> CallerService::serveResume(HttpExchange &Exchange,
                                      TrafficThread &Thread) {
  echoRequestId(Exchange);
  const std::string Token = Exchange.target().value("token").value_or("");
  if (Token.empty() || Token.size() > MaxTokenBytes)
    throw Error(ErrorKind::BadInput, "token is missing or malformed",
                "give the resume token of the accepted event");
  const std::uint64_t Index = Exchange.target().number("index", 0);
  const Entry Relay =
      Thread.relays().openResume(bearerKey(Exchange), Token, Index);
  const EntryGuard Guard(Thread.relays(), Relay->id());
  const RelayEntry::Opening Start = co_await Relay->opening();
  if (!Start.Joined) {
    HttpAnswer NotFound = unknownToken();
    co_await Exchange.respond(std::move(NotFound));
    co_return;
  }
  const Entry Stream = Start.Joined;
  const std::string Accepted = acceptedEvent(Stream->id(), Token);
  if (!co_await Exchange.beginEvents())
    co_return this->Events.send(CallerDisconnected{Stream->id()});
  if (!co_await Exchange.sendEvents(Accepted))
    co_return this->Events.send(CallerDisconnected{Stream->id()});
  co_await this->sendStream(Exchange, Stream, Start.JoinedIndex);
}

Task<bool> CallerService::sendStream(HttpExchange &Exchange, Entry Stream,
                                     std::uint64_t Index) {
  const std::uint64_t Writer = ++this->Writers;
  const net::any_io_executor StreamExecutor = Stream->executor();
  const bool Attached =
      co_await onExecutor(StreamExecutor, attach(*Stream, Writer, Index));
  if (!Attached)
    co_return false;
  Exchange.onDisconnect(
      [this, Stream, Writer] { this->detach(Stream, Writer); });
  RelayEntry::Delivery Batch;
  Batch.NextIndex = Index;
  while (!Batch.Last) {
    Batch = co_await onExecutor(StreamExecutor,
                                Stream->next(Writer, Batch.NextIndex));
    if (Batch.Replaced)
      co_return false;
    const bool Sent = co_await Exchange.sendEvents(Batch.Events);
    if (!Sent) {
      this->detach(Stream, Writer);
      co_return false;
    }
  }
  co_return co_await Exchange.endEvents();
}

void CallerService::detach(const Entry &Stream, std::uint64_t Writer) {
  net::post(Stream->executor(), [this, Stream, Writer] {
    if (Stream->detach(Writer))
      this->Events.send(CallerDisconnected{Stream->id()});
  });
}

Task<void> CallerService::serveResolve(HttpExchange &Exchange,
                                       TrafficThread &Thread) {
  const std::uint64_t Id = Thread.relays().takeId();
  this->Events.send(resolveRequestFrom(Exchange, Id));
  const auto Answer = co_await Thread.resolveAnswers().wait(Id, ResolveTimeout);
  if (!Answer)
    throw Error(ErrorKind::Unavailable, "no answer within 5 s",
                "ask another entry host");
  HttpAnswer Result = resolveAnswer(*Answer);
  co_await Exchange.respond(std::move(Result));
}

} // namespace banyanpick
