#include "app/CallerService.h"

#include "app/AnswerJson.h"
#include "http/AddressText.h"
#include "http/BoundedJson.h"
#include "http/EventParser.h"

namespace banyanpick {

namespace {

using nlohmann::json;

constexpr std::size_t LongestRequestId = 128;
constexpr std::size_t LongestToken = 256;
constexpr seconds ResolveTimeout(5);

/// Runs \p Work on the executor given and comes back to the own one.
template <class Value>
Task<Value> onExecutor(net::any_io_executor Executor, Task<Value> Work) {
  const net::any_io_executor Own = co_await net::this_coro::executor;
  if (Own == Executor)
    co_return co_await std::move(Work);
  co_return co_await net::co_spawn(Executor, std::move(Work),
                                   net::use_awaitable);
}

/// Echoes the caller's request id. Throws when it is malformed.
void echoRequestId(HttpExchange &Each) {
  const std::string_view Given = Each.header("X-Request-Id");
  const bool Printable = std::all_of(Given.begin(), Given.end(),
                                     [](char C) { return C > ' ' && C < 127; });
  if (Given.size() > LongestRequestId || !Printable)
    throw Error(ErrorKind::BadInput, "X-Request-Id is malformed",
                "give at most 128 printable characters without blanks");
  if (!Given.empty())
    Each.addHeader("X-Request-Id", Given);
}

std::string acceptedEvent(const RequestId &Id, const std::string &Token) {
  return formatEvent(
      "accepted", dumpJson({{"request", Id.Value}, {"resume_token", Token}}));
}

HttpAnswer resolveAnswer(const AnswerResolve &Given) {
  json Hosts = json::array();
  for (const Address &Host : Given.Hosts)
    Hosts.push_back(text(Host));
  const auto TtlMs =
      std::chrono::duration_cast<milliseconds>(Given.TimeToLive).count();
  HttpAnswer Result;
  Result.Body = dumpJson({{"hosts", std::move(Hosts)}, {"ttl_ms", TtlMs}});
  return Result;
}

HttpAnswer unknownToken() {
  return errorAnswer(404, ErrorKind::BadInput,
                     "the resume token is unknown here; send the request anew");
}

ResolveRequest resolveQuestion(const HttpExchange &Each, std::uint64_t Id) {
  ResolveRequest Result;
  Result.Id = ResolveRequestId(Id);
  Result.Team.Value = Each.target().value("team").value_or("");
  Result.Zone.Value = Each.target().value("zone").value_or("");
  return Result;
}

Task<bool> attach(RelayEntry &Stream, std::uint64_t Writer,
                  std::uint64_t Index) {
  co_return Stream.attach(Writer, Index);
}

/// Takes the entry out of its table when the caller's side ends.
class Registration {
public:
  Registration(RelayTable &Table, RequestId Id) : Table(Table), Id(Id) {}
  ~Registration() {
    if (!this->Kept)
      this->Table.remove(this->Id);
  }
  Registration(const Registration &) = delete;
  Registration &operator=(const Registration &) = delete;

  /// Leaves it there for a caller that may come back.
  void keep() { this->Kept = true; }

private:
  RelayTable &Table;
  RequestId Id;
  bool Kept = false;
};

} // namespace

Task<void> CallerService::serveRequest(HttpExchange &Each,
                                       TrafficThread &Thread) {
  echoRequestId(Each);
  const bool IsCall = Each.target().Path == "/v1/calls";
  CallerRequest Asked = IsCall ? callFrom(Each) : completionFrom(Each);
  Each.dropBody();
  const Entry Opened = Thread.relays().open(std::move(Asked));
  Registration Here(Thread.relays(), Opened->id());
  if (!Opened->isStreamed()) {
    co_await this->serveWhole(Each, Opened);
    co_return;
  }
  co_await this->serveStreamed(Each, Opened);
  if (Opened->isAccepted())
    Here.keep();
  if (Opened->isEnded())
    Thread.relays().removeLater(Opened->id());
}

Task<void> CallerService::serveWhole(HttpExchange &Each, Entry Asked) {
  Each.onDisconnect(
      [this, Id = Asked->id()] { this->Events.send(CallerDisconnected{Id}); });
  const FinalAnswer Answer = co_await Asked->finalAnswer();
  const bool IsCompletion =
      Asked->content().What == RequestContent::Kind::Completion;
  const std::string Text = Asked->chunks().joined();
  HttpAnswer Given = answerTo(Answer, IsCompletion ? &Text : nullptr);
  co_await Each.respond(std::move(Given));
}

Task<void> CallerService::serveStreamed(HttpExchange &Each, Entry Asked) {
  Each.onDisconnect(
      [this, Id = Asked->id()] { this->Events.send(CallerDisconnected{Id}); });
  const RelayEntry::Opening Begins = co_await Asked->opening();
  if (Begins.Answer && !Begins.Accepted) {
    HttpAnswer Given = answerTo(*Begins.Answer, nullptr);
    co_await Each.respond(std::move(Given));
    co_return;
  }
  if (!co_await Each.beginEvents())
    co_return this->Events.send(CallerDisconnected{Asked->id()});
  const std::string Accepted = acceptedEvent(Asked->id(), Begins.ResumeToken);
  if (!co_await Each.sendEvents(Accepted))
    co_return this->Events.send(CallerDisconnected{Asked->id()});
  co_await this->sendStream(Each, Asked, 0);
}

Task<void> CallerService::serveResume(HttpExchange &Each,
                                      TrafficThread &Thread) {
  echoRequestId(Each);
  const std::string Token = Each.target().value("token").value_or("");
  if (Token.empty() || Token.size() > LongestToken)
    throw Error(ErrorKind::BadInput, "token is missing or malformed",
                "give the resume token of the accepted event");
  const std::uint64_t Index = Each.target().number("index", 0);
  const Entry Asked = Thread.relays().openResume(bearerKey(Each), Token, Index);
  const Registration Here(Thread.relays(), Asked->id());
  const RelayEntry::Opening Begins = co_await Asked->opening();
  if (!Begins.Joined) {
    HttpAnswer Unknown = unknownToken();
    co_await Each.respond(std::move(Unknown));
    co_return;
  }
  const Entry Stream = Begins.Joined;
  const std::string Accepted = acceptedEvent(Stream->id(), Token);
  if (!co_await Each.beginEvents())
    co_return this->Events.send(CallerDisconnected{Stream->id()});
  if (!co_await Each.sendEvents(Accepted))
    co_return this->Events.send(CallerDisconnected{Stream->id()});
  co_await this->sendStream(Each, Stream, Begins.JoinedIndex);
}

Task<bool> CallerService::sendStream(HttpExchange &Each, Entry Stream,
                                     std::uint64_t Index) {
  const std::uint64_t Writer = ++this->Writers;
  const net::any_io_executor Home = Stream->executor();
  const bool Attached =
      co_await onExecutor(Home, attach(*Stream, Writer, Index));
  if (!Attached)
    co_return false;
  Each.onDisconnect([this, Stream, Writer] { this->detach(Stream, Writer); });
  RelayEntry::Delivery Piece;
  Piece.NextIndex = Index;
  while (!Piece.Last) {
    Piece = co_await onExecutor(Home, Stream->next(Writer, Piece.NextIndex));
    if (Piece.Replaced)
      co_return false;
    const bool Sent = co_await Each.sendEvents(Piece.Events);
    if (!Sent) {
      this->detach(Stream, Writer);
      co_return false;
    }
  }
  co_return co_await Each.endEvents();
}

void CallerService::detach(const Entry &Stream, std::uint64_t Writer) {
  net::post(Stream->executor(), [this, Stream, Writer] {
    if (Stream->detach(Writer))
      this->Events.send(CallerDisconnected{Stream->id()});
  });
}

Task<void> CallerService::serveResolve(HttpExchange &Each,
                                       TrafficThread &Thread) {
  const std::uint64_t Id = Thread.relays().takeId();
  this->Events.send(resolveQuestion(Each, Id));
  const auto Answer = co_await Thread.resolveAnswers().wait(Id, ResolveTimeout);
  if (!Answer)
    throw Error(ErrorKind::Unavailable, "no answer within 5 s",
                "ask another entry host");
  HttpAnswer Result = resolveAnswer(*Answer);
  co_await Each.respond(std::move(Result));
}

} // namespace banyanpick
