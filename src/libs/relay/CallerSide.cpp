#include "relay/CallerSide.h"

namespace banyanpick {

Task<bool> CallerSide::deliver(RelayedAnswer Given) {
  if (this->isAnswered())
    co_return false;
  const Using Now(*this);
  this->Answering = true;
  const bool Sent = co_await this->Each->respond(std::move(Given));
  this->finish();
  co_return Sent;
}

Task<bool> CallerSide::begin(http::response_header<> Head) {
  if (!this->isOpen())
    co_return false;
  const Using Now(*this);
  this->Begun = true;
  co_return co_await this->Each->beginEvents(std::move(Head));
}

Task<bool> CallerSide::send(std::string_view Events,
                            std::optional<std::uint64_t> LastId) {
  if (!this->isOpen())
    co_return false;
  const Using Now(*this);
  this->LastEvent = LastId;
  co_return co_await this->Each->sendEvents(Events);
}

Task<bool> CallerSide::end() {
  if (!this->isOpen())
    co_return false;
  const Using Now(*this);
  this->Answering = true;
  const bool Sent = co_await this->Each->endEvents();
  this->finish();
  co_return Sent;
}

void CallerSide::refuse(HttpAnswer Given) {
  this->Refusal = std::move(Given);
  this->finish();
}

void CallerSide::keepFailure(const AttemptId &Try, RelayedAnswer Given) {
  this->Kept[Try] = std::move(Given);
}

void CallerSide::deliverFailure(const AttemptId &Try) {
  const auto Found = this->Kept.find(Try);
  if (Found != this->Kept.end())
    this->Failure = std::move(Found->second);
  this->finish();
}

void CallerSide::breakOff() {
  if (this->isOpen())
    this->Each->breakOff();
  this->finish();
}

Task<void> CallerSide::idle() {
  while (this->Operations > 0)
    co_await this->News.wait();
}

Task<void> CallerSide::finished() {
  while (!this->Done || this->Operations > 0)
    co_await this->News.wait();
}

Task<void> CallerSide::sendDecided() {
  if (this->Each->isAnswered())
    co_return;
  if (this->Failure)
    co_await this->Each->respond(std::move(*this->Failure));
  else if (this->Refusal)
    co_await this->Each->respond(std::move(*this->Refusal));
}

void CallerSide::finish() {
  this->Done = true;
  this->News.notify();
}

} // namespace banyanpick
