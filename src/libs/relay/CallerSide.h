/// \file
/// One relayed request on the traffic thread: what the caller sent, and its
/// answer on the way.
#pragma once

#include "http/HttpExchange.h"
#include "http/Signal.h"
#include "kernel/Action.h"

#include <map>
#include <memory>
#include <optional>

namespace banyanpick {

/// Lives as long as the caller's side or a try needs it; the exchange is not
/// used once finished() has returned. Used on one thread.
class CallerSide {
public:
  CallerSide(HttpExchange &Exchange, RequestId Id)
      : Exchange(&Exchange), Id(Id), Changes(Exchange.executor()) {}

  const RequestId &id() const { return this->Id; }
  /// What the caller sent; null once the request has ended, as the exchange may
  /// be gone then. Not to be kept over a wait.
  const HttpExchange::Request *request() const {
    return this->Done ? nullptr : &this->Exchange->request();
  }

  /// Whether something may still be sent to the caller.
  bool isOpen() const { return !this->Done; }
  /// The caller has closed its connection.
  void disconnected() { this->breakOff(); }

  // --- from an upstream's answer; false: the caller is gone

  Task<bool> deliver(RelayedAnswer Answer);
  Task<bool> begin(http::response_header<> Head);
  /// \p LastEventId is the id of the last of the events.
  Task<bool> send(std::string_view Events,
                  std::optional<std::uint64_t> LastEventId);
  Task<bool> end();
  bool hasBegun() const { return this->HasBegun; }
  /// The last event that went to the caller or is on its way there. Control
  /// may not know of it yet when it gives a try up.
  std::optional<std::uint64_t> lastEvent() const { return this->LastEvent; }
  /// Whether a whole answer is on its way; nothing else may be sent then.
  bool isAnswered() const { return this->Answering || this->Done; }
  /// Waits until nothing is being sent.
  Task<void> waitUntilIdle();

  // --- decided by control

  /// Gives the answer that control made.
  void refuse(HttpAnswer Answer);
  void keepFailure(const AttemptId &Attempt, RelayedAnswer Answer);
  void deliverFailure(const AttemptId &Attempt);
  void breakOff();

  /// Waits until there is a final answer to send or all was sent, and nothing
  /// uses the caller's connection any more.
  Task<void> waitUntilFinished();
  /// Sends what control decided on, if that is what ends the request.
  Task<void> sendFinalAnswer();

private:
  /// Counts an operation on the caller's connection while it lives.
  class OperationGuard {
  public:
    explicit OperationGuard(CallerSide &Owner) : Owner(Owner) {
      ++Owner.Operations;
    }
    ~OperationGuard() {
      --this->Owner.Operations;
      this->Owner.Changes.notify();
    }
    OperationGuard(const OperationGuard &) = delete;
    OperationGuard &operator=(const OperationGuard &) = delete;

  private:
    CallerSide &Owner;
  };

  void finish();

  HttpExchange *Exchange;
  RequestId Id;
  Signal Changes;
  std::size_t Operations = 0;
  std::optional<std::uint64_t> LastEvent;
  bool Answering = false;
  bool HasBegun = false;
  bool Done = false;
  std::optional<HttpAnswer> Refusal;
  std::optional<RelayedAnswer> Failure;
  std::map<AttemptId, RelayedAnswer> KeptFailures;
};

} // namespace banyanpick
