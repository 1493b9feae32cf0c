#include "relay/EngineRun.h"

#include "base/Visitor.h"
#include "http/AddressText.h"
#include "http/SocketOptions.h"
#include "relay/HopHeaders.h"

namespace banyanpick {

namespace {

/// Requests with larger bodies are written while the answer is read. A request
/// whose header and body are no larger fits into the socket buffers of a
/// connection. Writing a larger one can block until the upstream reads it, and
/// the upstream may answer before it has read the whole body.
constexpr std::size_t MaxSequentialWriteBytes = 16ULL * 1024;

bool isEventStream(const http::response_header<> &Head) {
  const auto Type = Head[http::field::content_type];
  return beast::iequals(Type.substr(0, 17), "text/event-stream");
}

template <class Parser>
RelayDelivered::Ending endingOf(const Parser &AnswerParser) {
  return AnswerParser.need_eof() ? RelayDelivered::Ending::Connection
                                 : RelayDelivered::Ending::Explicit;
}

} // namespace

EngineRun::EngineRun(const net::any_io_executor &ExecutorGiven,
                     DispatchRelay OrderGiven,
                     std::shared_ptr<CallerSide> CallerGiven,
                     EngineLinkPool &Pool, const EngineProtocol &Protocol,
                     const EngineRunLimits &Limits)
    : Executor(ExecutorGiven), Order(std::move(OrderGiven)),
      Caller(std::move(CallerGiven)), Pool(Pool), Protocol(Protocol),
      Limits(Limits), TimeoutTimer(ExecutorGiven) {}

Task<RelayOutcome> EngineRun::run(Duration Remaining,
                                  EngineRunListener Listener) {
  // A cancelled attempt may still be sending events that it has read.
  co_await this->Caller->waitUntilIdle();
  if (this->Caller->isAnswered())
    co_return RelayDelivered{};
  if (this->Cancelled)
    co_return RelayNeverSent{};
  if (this->Caller->lastEvent())
    this->Order.LastEvent = this->Caller->lastEvent();
  if (!this->Order.Fresh)
    this->Link = this->Pool.takeIdle(this->Order.Engine);
  if (!this->Link) {
    const auto Failed = co_await this->connect();
    if (Failed)
      co_return RelayNeverSent{*Failed};
  }
  // The caller may have disconnected while the connection was being set up,
  // before control could cancel the attempt.
  RelayOutcome Result = RelayNeverSent{};
  if (this->Caller->request() && !Listener.MaySend())
    Result = RelayNeverSent{RelayNeverSent::Why::Withdrawn};
  else if (this->Caller->request())
    Result = co_await this->exchange(Remaining, Listener);
  this->TimeoutTimer.cancel();
  if (this->Link) {
    ErrorCode Ignored;
    this->Link->Socket.close(Ignored);
  }
  co_return Result;
}

void EngineRun::cancel() {
  this->Cancelled = true;
  this->TimeoutTimer.cancel();
  if (!this->Link)
    return;
  ErrorCode Ignored;
  this->Link->Socket.close(Ignored);
}

Task<std::optional<RelayNeverSent::Why>> EngineRun::connect() {
  this->Link =
      this->Pool.create(this->Order.Engine, this->Order.MaxConnections);
  this->armTimeout(this->Limits.ConnectTimeout);
  ErrorCode Failure;
  co_await this->Link->Socket.async_connect(endpointOf(this->Order.At),
                                            into(Failure));
  this->TimeoutTimer.cancel();
  if (Failure == net::error::connection_refused)
    co_return RelayNeverSent::Why::Refused;
  if (Failure || this->Cancelled || this->TimedOut)
    co_return RelayNeverSent::Why::NotConnected;
  tuneServerConnection(this->Link->Socket);
  co_return std::nullopt;
}

void EngineRun::armTimeout(Duration Limit) {
  this->TimeoutTimer.expires_after(Limit);
  this->TimeoutTimer.async_wait([Self = this->shared_from_this(),
                                 Link = this->Link](const ErrorCode &Failure) {
    if (Failure)
      return;
    Self->TimedOut = true;
    ErrorCode Ignored;
    Link->Socket.close(Ignored);
  });
}

Task<bool> EngineRun::sendRequest(Duration Remaining) {
  const HttpExchange::Request &CallerReq = *this->Caller->request();
  auto UpstreamReq = std::make_shared<HttpExchange::Request>(CallerReq.base(),
                                                             CallerReq.body());
  removeHopHeaders(*UpstreamReq);
  UpstreamReq->erase(http::field::content_length);
  UpstreamReq->erase(http::field::expect);
  this->Protocol.writeHeaders(*UpstreamReq, this->Order, Remaining);
  constexpr unsigned Http11 = 11;
  UpstreamReq->version(Http11);
  UpstreamReq->keep_alive(true);
  if (!UpstreamReq->body().empty() || CallerReq.has_content_length())
    UpstreamReq->content_length(UpstreamReq->body().size());
  this->AnyByteSent = true;
  if (UpstreamReq->body().size() <= MaxSequentialWriteBytes) {
    ErrorCode Failure;
    co_await http::async_write(this->Link->Socket, *UpstreamReq, into(Failure));
    this->Sent = !Failure;
    co_return !Failure;
  }
  net::co_spawn(
      this->Executor,
      [Self = this->shared_from_this(), Link = this->Link,
       UpstreamReq]() -> Task<void> {
        ErrorCode Failure;
        co_await http::async_write(Link->Socket, *UpstreamReq, into(Failure));
        Self->Sent = !Failure;
      },
      net::detached);
  co_return true;
}

Task<std::string_view> EngineRun::readBodyPart(Parser &AnswerParser) {
  auto &Body = AnswerParser.get().body();
  Body.data = this->ReadBuffer.data();
  Body.size = this->ReadBuffer.size();
  ErrorCode Failure;
  co_await http::async_read_some(this->Link->Socket, this->Link->Buffer,
                                 AnswerParser, into(Failure));
  if (Failure == http::error::need_buffer)
    Failure = {};
  if (AnswerParser.is_done() && this->endedTooEarly(AnswerParser))
    Failure = net::error::connection_reset;
  this->ReadFailure = Failure;
  co_return std::string_view(this->ReadBuffer.data(),
                             this->ReadBuffer.size() - Body.size);
}

Task<RelayOutcome> EngineRun::exchange(Duration Remaining,
                                       const EngineRunListener &Listener) {
  // A failed write does not end the attempt: an upstream may answer and close
  // the connection before it has read the whole request.
  co_await this->sendRequest(Remaining);
  Reader AnswerOfEngine(NoBodyLimit);
  const ErrorCode Failure =
      co_await AnswerOfEngine.readHead(this->Link->Socket, this->Link->Buffer);
  if (Failure)
    co_return this->brokenBy(Failure);
  Parser &Answer = AnswerOfEngine.parser();
  const http::response_header<> &Head = Answer.get();
  const HttpExchange::Request *CallerReq = this->Caller->request();
  if (!CallerReq)
    co_return this->broken(RelayBroken::Why::Reset);
  this->UnknownNames = this->Protocol.unknownHeaders(Head);
  Listener.OnSignals(this->Protocol.signalsOf(Head, *CallerReq));
  const AnswerClass Class = this->Protocol.classifyAnswer(Head, *CallerReq);
  if (const auto *NotRun = std::get_if<NotRunAnswer>(&Class)) {
    // Reading the body only to reuse the connection is not worthwhile, so the
    // connection is closed.
    co_return NotRun->Details;
  }
  if (const auto *Invalid = std::get_if<InvalidAnswer>(&Class))
    co_return this->broken(Invalid->Reason);
  const bool IsFailure = std::holds_alternative<FailureAnswer>(Class);
  if (this->Order.Stream && !IsFailure && isEventStream(Head))
    co_return co_await this->relayEvents(Answer, Listener);
  co_return co_await this->relayWhole(Answer, IsFailure);
}

Task<RelayOutcome> EngineRun::relayWhole(Parser &AnswerParser, bool IsFailure) {
  RelayedAnswer Relayed;
  Relayed.Head = AnswerParser.get().base();
  removeHopHeaders(Relayed.Head);
  Relayed.Head.erase(http::field::content_length);
  while (!AnswerParser.is_done()) {
    Relayed.Body += co_await this->readBodyPart(AnswerParser);
    if (this->ReadFailure)
      co_return this->brokenBy(this->ReadFailure);
    if (Relayed.Body.size() > this->Limits.WholeAnswerBytes)
      co_return this->broken(RelayBroken::Why::Corrupt);
  }
  if (this->Cancelled)
    co_return this->broken(RelayBroken::Why::Reset);
  this->keepLink(AnswerParser);
  const std::uint32_t Status = Relayed.Head.result_int();
  if (this->Caller->hasBegun())
    co_return this->broken(RelayBroken::Why::Corrupt);
  if (IsFailure) {
    this->Caller->keepFailure(this->Order.Attempt, std::move(Relayed));
    co_return RelayFailed{Status};
  }
  const RelayDelivered::Ending End = endingOf(AnswerParser);
  co_await this->Caller->deliver(std::move(Relayed));
  co_return RelayDelivered{Status, Duration(0), End};
}

Task<RelayOutcome> EngineRun::relayEvents(Parser &AnswerParser,
                                          const EngineRunListener &Listener) {
  this->Splitter.resumeAfter(this->Order.LastEvent);
  http::response_header<> Head = AnswerParser.get().base();
  removeHopHeaders(Head);
  Head.erase(http::field::content_length);
  while (!AnswerParser.is_done()) {
    const SplitEvents Part = co_await this->readEvents(AnswerParser);
    if (this->Cancelled)
      co_return this->broken(RelayBroken::Why::Reset);
    if (this->isStreamCorrupt())
      co_return this->broken(RelayBroken::Why::Corrupt);
    const bool IsOpen = co_await this->forward(Head, Part, Listener);
    if (!IsOpen)
      co_return this->broken(RelayBroken::Why::Reset);
    if (this->ReadFailure)
      co_return this->brokenBy(this->ReadFailure);
  }
  const RelayDelivered::Ending End = endingOf(AnswerParser);
  const bool IsEmpty = !this->HasBegun;
  // A connection that ends within an event, or before the first one, was lost.
  if (End == RelayDelivered::Ending::Connection &&
      (this->Splitter.isWithinBlock() || IsEmpty))
    co_return this->broken(RelayBroken::Why::Reset);
  if (this->Splitter.isWithinBlock())
    co_return this->broken(RelayBroken::Why::Corrupt);
  this->keepLink(AnswerParser);
  if (!this->Caller->hasBegun() && !co_await this->Caller->begin(Head))
    co_return this->broken(RelayBroken::Why::Reset);
  const std::string Rest = this->Splitter.takeRest();
  if (!Rest.empty())
    co_await this->Caller->send(Rest, this->Splitter.lastId());
  co_await this->Caller->end();
  co_return RelayDelivered{AnswerParser.get().result_int(), this->MaxEventGap,
                           End};
}

Task<SplitEvents> EngineRun::readEvents(Parser &AnswerParser) {
  const auto StartedAt = std::chrono::steady_clock::now();
  if (this->HasBegun && this->Order.MaxSilence > Duration(0))
    this->armTimeout(this->Order.MaxSilence - this->Silence);
  const std::string_view Bytes = co_await this->readBodyPart(AnswerParser);
  this->TimeoutTimer.cancel();
  SplitEvents Result = this->Splitter.feed(Bytes);
  const auto Waited = std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - StartedAt);
  this->Silence = Result.HasEvent ? Duration(0) : this->Silence + Waited;
  co_return Result;
}

Task<bool> EngineRun::forward(const http::response_header<> &Head,
                              const SplitEvents &Part,
                              const EngineRunListener &Listener) {
  if (Part.Bytes.empty())
    co_return true;
  if (Part.HasEvent)
    this->recordEventGap();
  if (!this->Caller->hasBegun()) {
    const bool HasBegun = co_await this->Caller->begin(Head);
    if (!HasBegun)
      co_return false;
  }
  const bool WasSent =
      co_await this->Caller->send(Part.Bytes, this->Splitter.lastId());
  if (!WasSent)
    co_return false;
  this->Order.LastEvent = this->Splitter.lastId();
  if (!this->HasBegun)
    Listener.OnFirstEvent();
  this->HasBegun = true;
  co_return true;
}

bool EngineRun::isStreamCorrupt() const {
  return !this->Splitter.isInOrder() ||
         this->Splitter.bytesSinceEvent() > this->Limits.EventBytes;
}

void EngineRun::recordEventGap() {
  const auto Now = std::chrono::steady_clock::now();
  if (this->HasBegun)
    this->MaxEventGap = std::max(
        this->MaxEventGap,
        std::chrono::duration_cast<Duration>(Now - this->LastEventsAt));
  this->LastEventsAt = Now;
}

RelayOutcome EngineRun::broken(RelayBroken::Why Reason) const {
  return RelayBroken{Reason, this->HasBegun,
                     this->HasBegun ? this->Order.LastEvent : std::nullopt};
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

void EngineRun::keepLink(const Parser &AnswerParser) {
  // The connection is not reused if the upstream answered early, as it may
  // still be reading the request body, or if there are bytes after the answer,
  // as they belong to no request.
  if (!this->Sent || !AnswerParser.keep_alive() || AnswerParser.need_eof() ||
      this->Link->Buffer.size() != 0)
    return;
  this->Pool.keep(this->Order.Engine, std::move(this->Link),
                  keepAliveTimeout(AnswerParser.get()));
  this->Link = nullptr;
}

} // namespace banyanpick
