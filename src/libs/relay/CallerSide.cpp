#include "relay/CallerSide.h"

namespace banyanpick {

Task<bool> CallerSide::deliver(RelayedAnswer Answer) {
  if (this->isAnswered())
    co_return false;
  const OperationGuard Guard(*this);
  this->Answering = true;
  const bool Sent = co_await this->Exchange->respond(std::move(Answer));
  this->finish();
  co_return Sent;
}

Task<bool> CallerSide::begin(http::response_header<> Head) {
  if (!this->isOpen())
    co_return false;
  const OperationGuard Guard(*this);
  this->HasBegun = true;
  co_return co_await this->Exchange->beginEvents(std::move(Head));
}

Task<bool> CallerSide::send(std::string_view Events,
                            std::optional<std::uint64_t> LastEventId) {
  if (!this->isOpen())
    co_return false;
  const OperationGuard Guard(*this);
  this->LastEvent = LastEventId;
  co_return co_await this->Exchange->sendEvents(Events);
}

Task<bool> CallerSide::end() {
  if (!this->isOpen())
    co_return false;
  const OperationGuard Guard(*this);
  this->Answering = true;
  const bool Sent = co_await this->Exchange->endEvents();
  this->finish();
  co_return Sent;
}

void CallerSide::refuse(HttpAnswer Answer) {
  this->Refusal = std::move(Answer);
  this->finish();
}

void CallerSide::keepFailure(const AttemptId &Attempt, RelayedAnswer Answer) {
  this->KeptFailures[Attempt] = std::move(Answer);
}

void CallerSide::deliverFailure(const AttemptId &Attempt) {
  const auto Found = this->KeptFailures.find(Attempt);
  if (Found != this->KeptFailures.end())
    this->Failure = std::move(Found->second);
  this->finish();
}

void CallerSide::abort() {
  if (this->isOpen())
    this->Exchange->abort();
  this->finish();
}

Task<void> CallerSide::waitUntilIdle() {
  while (this->Operations > 0)
    co_await this->Changes.wait();
}

Task<void> CallerSide::waitUntilFinished() {
  while (!this->Done || this->Operations > 0)
    co_await this->Changes.wait();
}

Task<void> CallerSide::sendFinalAnswer() {
  if (this->Exchange->isAnswered())
    co_return;
  if (this->Failure)
    co_await this->Exchange->respond(std::move(*this->Failure));
  else if (this->Refusal)
    co_await this->Exchange->respond(std::move(*this->Refusal));
}

void CallerSide::finish() {
  this->Done = true;
  this->Changes.notify();
}

} // namespace banyanpick
