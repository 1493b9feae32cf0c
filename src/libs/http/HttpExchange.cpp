#include "http/HttpExchange.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace banyanpick {

namespace {

unsigned statusOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::BadInput:
    return 400;
  case ErrorKind::NotAllowed:
    return 403;
  case ErrorKind::Conflict:
    return 409;
  case ErrorKind::Unavailable:
    return 503;
  case ErrorKind::Internal:
    break;
  }
  return 500;
}

std::string retryAfterText(Duration After, bool Fractional) {
  constexpr Duration::rep Second = 1'000'000;
  if (Fractional)
    return fmt::format("{:.3f}", inSeconds(After));
  return std::to_string((After.count() + Second - 1) / Second);
}

} // namespace

HttpAnswer errorAnswer(unsigned Status, ErrorKind Kind,
                       std::string_view Message) {
  const nlohmann::json Body{
      {"error", {{"kind", name(Kind)}, {"message", Message}}}};
  HttpAnswer Result;
  Result.Status = Status;
  Result.Body =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Result;
}

HttpAnswer errorAnswer(const Error &Thrown) {
  return errorAnswer(statusOf(Thrown.kind()), Thrown.kind(), Thrown.what());
}

HttpExchange::~HttpExchange() { this->stopWatching(); }

std::string_view HttpExchange::header(std::string_view Name) const {
  const auto Found = this->Req.find(beastText(Name));
  if (Found == this->Req.end())
    return {};
  return {Found->value().data(), Found->value().size()};
}

void HttpExchange::addHeader(std::string_view Name, std::string_view Value) {
  this->Headers.emplace_back(Name, Value);
}

Task<bool> HttpExchange::respond(HttpAnswer Content) {
  Connection::Answer Answer(static_cast<http::status>(Content.Status),
                            this->Req.version());
  Answer.set(http::field::content_type, Content.ContentType);
  if (Content.RetryAfter > Duration(0))
    Answer.set(
        http::field::retry_after,
        retryAfterText(Content.RetryAfter, Content.FractionalRetryAfter));
  Answer.body() = std::move(Content.Body);
  co_return co_await this->writeAnswer(std::move(Answer));
}

Task<bool> HttpExchange::beginEvents() {
  Connection::Header Answer(http::status::ok, this->Req.version());
  Answer.set(http::field::content_type, "text/event-stream");
  Answer.set(http::field::cache_control, "no-store");
  co_return co_await this->writeEventsHead(std::move(Answer));
}

bool HttpExchange::wantsKeepAlive() const {
  return this->Req.keep_alive() && !this->Values.CloseAfterAnswer;
}

Task<bool> HttpExchange::respond(RelayedAnswer Content) {
  Connection::Answer Answer(std::move(Content.Head));
  Answer.version(this->Req.version());
  Answer.body() = std::move(Content.Body);
  co_return co_await this->writeAnswer(std::move(Answer));
}

Task<bool> HttpExchange::beginEvents(http::response_header<> Head) {
  Connection::Header Answer(std::move(Head));
  Answer.version(this->Req.version());
  co_return co_await this->writeEventsHead(std::move(Answer));
}

Task<bool> HttpExchange::writeAnswer(Connection::Answer Answer) {
  this->stopWatching();
  this->Answered = true;
  this->addHeaders(Answer);
  Answer.keep_alive(this->wantsKeepAlive());
  Answer.prepare_payload();
  this->KeepsAlive = this->KeepsAlive && Answer.keep_alive();
  const ErrorCode Failure =
      co_await this->Peer->writeAnswer(Answer, this->Values.WriteTimeout);
  co_return this->updateKeepAlive(Failure);
}

Task<bool> HttpExchange::writeEventsHead(Connection::Header Head) {
  this->Answered = true;
  this->EventsOpen = true;
  this->addHeaders(Head);
  Head.keep_alive(this->wantsKeepAlive());
  Head.chunked(true);
  this->KeepsAlive = this->KeepsAlive && Head.keep_alive();
  const ErrorCode Failure =
      co_await this->Peer->writeHeader(Head, this->Values.WriteTimeout);
  co_return this->updateKeepAlive(Failure);
}

void HttpExchange::abort() {
  this->stopWatching();
  this->Answered = true;
  this->KeepsAlive = false;
  this->Aborted = true;
  this->Peer->abort();
}

ExchangeEnd HttpExchange::end() const {
  if (this->CallerLeft)
    return ExchangeEnd::CallerLeft;
  if (!this->Answered)
    return ExchangeEnd::NoAnswer;
  // An abort makes running writes fail, so it is looked at first.
  if (this->Aborted)
    return ExchangeEnd::Cut;
  if (this->WriteFailed)
    return ExchangeEnd::NotSent;
  return this->EventsOpen ? ExchangeEnd::Cut : ExchangeEnd::Complete;
}

Task<bool> HttpExchange::sendEvents(std::string_view Formatted) {
  const ErrorCode Failure =
      co_await this->Peer->writeChunk(Formatted, this->Values.WriteTimeout);
  co_return this->updateKeepAlive(Failure);
}

Task<bool> HttpExchange::endEvents() {
  this->stopWatching();
  const ErrorCode Failure =
      co_await this->Peer->writeChunk({}, this->Values.WriteTimeout);
  this->EventsOpen = false;
  co_return this->updateKeepAlive(Failure);
}

void HttpExchange::onDisconnect(std::function<void()> Callback) {
  // The destructor removes the callback.
  this->Watch = std::make_shared<DisconnectWatch>(
      DisconnectWatch{[this, Callback = std::move(Callback)] {
        this->CallerLeft = true;
        Callback();
      }});
  net::co_spawn(this->Peer->executor(), watch(this->Peer, this->Watch),
                net::detached);
}

Task<void> HttpExchange::watch(std::shared_ptr<Connection> Peer,
                               std::shared_ptr<DisconnectWatch> Watch) {
  const bool Disconnected = co_await Peer->waitForDisconnect();
  if (Disconnected && Watch->Callback)
    Watch->Callback();
}

bool HttpExchange::updateKeepAlive(const ErrorCode &Failure) {
  if (!Failure)
    return true;
  this->KeepsAlive = false;
  this->WriteFailed = true;
  return false;
}

void HttpExchange::stopWatching() {
  if (!this->Watch)
    return;
  this->Watch->Callback = nullptr;
  this->Watch.reset();
  this->Peer->stopWatching();
}

template <class Answer> void HttpExchange::addHeaders(Answer &Message) const {
  for (const auto &[Name, Value] : this->Headers)
    Message.set(beastText(Name), beastText(Value));
}

} // namespace banyanpick
