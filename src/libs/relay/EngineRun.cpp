#include "relay/EngineRun.h"

#include "base/Visitor.h"
#include "http/AddressText.h"
#include "http/SocketOptions.h"
#include "relay/HopHeaders.h"

#include <charconv>
#include <limits>

namespace banyanpick {

namespace {

/// A request whose header and body are no longer fits the windows of a
/// connection, so that writing it can wait for the upstream to read. Its answer
/// is read meanwhile, as it may come before the body is in.
constexpr std::size_t WrittenAtOnce = 16ULL * 1024;

/// `timeout=N` of a Keep-Alive header.
Duration serverIdle(const http::response_header<> &Head) {
  const auto Value = Head[http::field::keep_alive];
  const std::string_view Text(Value.data(), Value.size());
  constexpr std::string_view Name = "timeout=";
  const std::size_t At = Text.find(Name);
  if (At == std::string_view::npos)
    return Duration(0);
  const std::string_view Number = Text.substr(At + Name.size());
  std::uint64_t Result = 0;
  std::from_chars(Number.data(), Number.data() + Number.size(), Result);
  return seconds(Result);
}

bool isEventStream(const http::response_header<> &Head) {
  const auto Type = Head[http::field::content_type];
  return beast::iequals(Type.substr(0, 17), "text/event-stream");
}

} // namespace

EngineRun::EngineRun(const net::any_io_executor &ExecutorGiven,
                     DispatchRelay OrderGiven,
                     std::shared_ptr<CallerSide> CallerGiven,
                     EngineLinkPool &Pool, const EngineProtocol &Protocol,
                     const EngineRunLimits &Limits)
    : Executor(ExecutorGiven), Order(std::move(OrderGiven)),
      Caller(std::move(CallerGiven)), Pool(Pool), Protocol(Protocol),
      Limits(Limits), Watch(ExecutorGiven) {}

Task<RelayOutcome> EngineRun::run(Duration Left, EngineRunListener Tell) {
  // A try that was given up may still be sending what it had read.
  co_await this->Caller->waitUntilIdle();
  if (this->Caller->isAnswered())
    co_return RelayDelivered{};
  if (this->Cancelled)
    co_return RelayNeverSent{};
  if (this->Caller->lastEvent())
    this->Order.LastEvent = this->Caller->lastEvent();
  if (!this->Order.Fresh)
    this->Link = this->Pool.takeIdle(this->Order.Engine);
  if (!this->Link && !co_await this->connect())
    co_return RelayNeverSent{};
  // The caller may have left while the connection was made, before control
  // could cancel the try.
  RelayOutcome Result = RelayNeverSent{};
  if (this->Caller->request() && !Tell.MaySend())
    Result = RelayNeverSent{true};
  else if (this->Caller->request())
    Result = co_await this->exchange(Left, Tell);
  this->Watch.cancel();
  if (this->Link) {
    ErrorCode Ignored;
    this->Link->Socket.close(Ignored);
  }
  co_return Result;
}

void EngineRun::cancel() {
  this->Cancelled = true;
  this->Watch.cancel();
  if (!this->Link)
    return;
  ErrorCode Ignored;
  this->Link->Socket.close(Ignored);
}

Task<bool> EngineRun::connect() {
  this->Link = this->Pool.create();
  this->armSilence(this->Limits.ConnectTimeout);
  ErrorCode Failure;
  co_await this->Link->Socket.async_connect(endpointOf(this->Order.At),
                                            into(Failure));
  this->Watch.cancel();
  if (Failure || this->Cancelled || this->TimedOut)
    co_return false;
  tuneConnection(this->Link->Socket);
  co_return true;
}

void EngineRun::armSilence(Duration Limit) {
  this->Watch.expires_after(Limit);
  this->Watch.async_wait([Self = this->shared_from_this(),
                          Link = this->Link](const ErrorCode &Failure) {
    if (Failure)
      return;
    Self->TimedOut = true;
    ErrorCode Ignored;
    Link->Socket.close(Ignored);
  });
}

Task<bool> EngineRun::sendRequest(Duration Left) {
  const HttpExchange::Request &Asked = *this->Caller->request();
  auto Request =
      std::make_shared<HttpExchange::Request>(Asked.base(), Asked.body());
  removeHopHeaders(*Request);
  Request->erase(http::field::content_length);
  Request->erase(http::field::expect);
  this->Protocol.writeHeaders(*Request, this->Order, Left);
  constexpr unsigned Http11 = 11;
  Request->version(Http11);
  Request->keep_alive(true);
  if (!Request->body().empty() || Asked.has_content_length())
    Request->content_length(Request->body().size());
  this->AnyByteSent = true;
  if (Request->body().size() <= WrittenAtOnce) {
    ErrorCode Failure;
    co_await http::async_write(this->Link->Socket, *Request, into(Failure));
    this->Sent = !Failure;
    co_return !Failure;
  }
  net::co_spawn(
      this->Executor,
      [Self = this->shared_from_this(), Link = this->Link,
       Request]() -> Task<void> {
        ErrorCode Failure;
        co_await http::async_write(Link->Socket, *Request, into(Failure));
        Self->Sent = !Failure;
      },
      net::detached);
  co_return true;
}

Task<ErrorCode> EngineRun::readHead(Parser &Into) {
  // Not boost::none: Beast 1.74 compares it as less than any length.
  Into.body_limit(std::numeric_limits<std::uint64_t>::max());
  ErrorCode Failure;
  do {
    co_await http::async_read_header(this->Link->Socket, this->Link->Buffer,
                                     Into, into(Failure));
  } while (!Failure && Into.get().result() == http::status::continue_);
  co_return Failure;
}

Task<std::string_view> EngineRun::readPiece(Parser &From) {
  auto &Body = From.get().body();
  Body.data = this->Piece.data();
  Body.size = this->Piece.size();
  ErrorCode Failure;
  co_await http::async_read_some(this->Link->Socket, this->Link->Buffer, From,
                                 into(Failure));
  if (Failure == http::error::need_buffer)
    Failure = {};
  this->ReadFailure = Failure;
  co_return std::string_view(this->Piece.data(),
                             this->Piece.size() - Body.size);
}

Task<RelayOutcome> EngineRun::exchange(Duration Left,
                                       const EngineRunListener &Tell) {
  // An upstream may answer and close before it has read everything.
  co_await this->sendRequest(Left);
  Parser Answer;
  const ErrorCode Failure = co_await this->readHead(Answer);
  if (Failure)
    co_return this->brokenBy(Failure);
  const http::response_header<> &Head = Answer.get();
  const HttpExchange::Request *Asked = this->Caller->request();
  if (!Asked)
    co_return this->broken(RelayBroken::Why::Reset);
  this->Unknown = this->Protocol.unknownHeaders(Head);
  Tell.OnWord(this->Protocol.wordOf(Head, *Asked));
  const AnswerMeaning Meaning = this->Protocol.meaningOf(Head, *Asked);
  if (const auto *NotRun = std::get_if<AnswerIsNotRun>(&Meaning)) {
    // Its body, if any, is not worth reading for the connection's sake.
    co_return NotRun->How;
  }
  if (const auto *Invalid = std::get_if<AnswerIsInvalid>(&Meaning))
    co_return this->broken(Invalid->Reason);
  const bool IsFailure = std::holds_alternative<AnswerIsFailure>(Meaning);
  if (this->Order.Stream && !IsFailure && isEventStream(Head))
    co_return co_await this->relayEvents(Answer, Tell);
  co_return co_await this->relayWhole(Answer, IsFailure);
}

Task<RelayOutcome> EngineRun::relayWhole(Parser &From, bool IsFailure) {
  RelayedAnswer Given;
  Given.Head = From.get().base();
  removeHopHeaders(Given.Head);
  Given.Head.erase(http::field::content_length);
  while (!From.is_done()) {
    Given.Body += co_await this->readPiece(From);
    if (this->ReadFailure)
      co_return this->brokenBy(this->ReadFailure);
    if (Given.Body.size() > this->Limits.WholeAnswerBytes)
      co_return this->broken(RelayBroken::Why::Corrupt);
  }
  if (this->Cancelled)
    co_return this->broken(RelayBroken::Why::Reset);
  this->keepLink(From);
  const std::uint32_t Status = Given.Head.result_int();
  if (this->Caller->hasBegun())
    co_return this->broken(RelayBroken::Why::Corrupt);
  if (IsFailure) {
    this->Caller->keepFailure(this->Order.Attempt, std::move(Given));
    co_return RelayFailed{Status};
  }
  co_await this->Caller->deliver(std::move(Given));
  co_return RelayDelivered{Status, Duration(0)};
}

Task<RelayOutcome> EngineRun::relayEvents(Parser &From,
                                          const EngineRunListener &Tell) {
  this->Splitter.resumeAfter(this->Order.LastEvent);
  http::response_header<> Head = From.get().base();
  removeHopHeaders(Head);
  Head.erase(http::field::content_length);
  while (!From.is_done()) {
    if (this->Began && this->Order.MaxSilence > Duration(0))
      this->armSilence(this->Order.MaxSilence);
    const std::string Events =
        this->Splitter.feed(co_await this->readPiece(From));
    this->Watch.cancel();
    if (this->Cancelled)
      co_return this->broken(RelayBroken::Why::Reset);
    if (!this->Splitter.isInOrder() ||
        this->Splitter.pendingBytes() > this->Limits.EventBytes)
      co_return this->broken(RelayBroken::Why::Corrupt);
    if (!Events.empty()) {
      this->notePause();
      if (!this->Caller->hasBegun() && !co_await this->Caller->begin(Head))
        co_return this->broken(RelayBroken::Why::Reset);
      if (!co_await this->Caller->send(Events, this->Splitter.lastId()))
        co_return this->broken(RelayBroken::Why::Reset);
      this->Order.LastEvent = this->Splitter.lastId();
      if (!this->Began)
        Tell.OnBegan();
      this->Began = true;
    }
    if (this->ReadFailure)
      co_return this->brokenBy(this->ReadFailure);
  }
  if (this->Splitter.pendingBytes() > 0)
    co_return this->broken(RelayBroken::Why::Corrupt);
  this->keepLink(From);
  if (!this->Caller->hasBegun() && !co_await this->Caller->begin(Head))
    co_return this->broken(RelayBroken::Why::Reset);
  co_await this->Caller->end();
  co_return RelayDelivered{From.get().result_int(), this->MaxEventGap};
}

void EngineRun::notePause() {
  const auto Now = std::chrono::steady_clock::now();
  if (this->Began)
    this->MaxEventGap = std::max(
        this->MaxEventGap,
        std::chrono::duration_cast<Duration>(Now - this->LastEventsAt));
  this->LastEventsAt = Now;
}

RelayOutcome EngineRun::broken(RelayBroken::Why Reason) const {
  return RelayBroken{Reason, this->Began,
                     this->Began ? this->Order.LastEvent : std::nullopt};
}

RelayOutcome EngineRun::brokenBy(const ErrorCode &Failure) const {
  if (this->TimedOut || Failure == net::error::timed_out ||
      Failure == net::error::host_unreachable)
    return this->broken(RelayBroken::Why::Silent);
  const bool Malformed =
      Failure.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      Failure != http::error::end_of_stream &&
      Failure != http::error::partial_message;
  return this->broken(Malformed ? RelayBroken::Why::Malformed
                                : RelayBroken::Why::Reset);
}

void EngineRun::keepLink(const Parser &From) {
  // An upstream that answered early may still read the rest of the body; bytes
  // behind the answer belong to no request. Such connections are not used
  // again.
  if (!this->Sent || !From.keep_alive() || From.need_eof() ||
      this->Link->Buffer.size() != 0)
    return;
  this->Pool.keep(this->Order.Engine, std::move(this->Link),
                  serverIdle(From.get()));
  this->Link = nullptr;
}

} // namespace banyanpick
