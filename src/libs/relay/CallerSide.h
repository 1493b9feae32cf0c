/// \file
/// The caller's side of one relayed request: the request and its answer.
#pragma once

#include "http/ChangeNotifier.h"
#include "http/HttpExchange.h"
#include "kernel/Action.h"

#include <map>
#include <memory>
#include <optional>

namespace banyanpick {

/// Forwards an upstream's answer, or the answer that control chose, to the
/// caller. Shared by the handler of the request and its attempts. The exchange
/// is not used once waitUntilFinished() has returned. Used on the traffic
/// thread only.
class CallerSide {
public:
  CallerSide(HttpExchange &Exchange, RequestId Id)
      : Exchange(&Exchange), Id(Id), Changes(Exchange.executor()) {}

  const RequestId &id() const { return this->Id; }
  /// Returns the caller's request, or null once it has ended, as the exchange
  /// may be destroyed then. The pointer must not be kept across a co_await.
  const HttpExchange::Request *request() const {
    return this->Done ? nullptr : &this->Exchange->request();
  }

  /// Returns whether data may still be sent to the caller.
  bool isOpen() const { return !this->Done; }
  /// Called when the caller has closed its connection.
  void disconnected() { this->abort(); }

  // --- An upstream's answer. These return false if the caller has
  // disconnected.

  Task<bool> deliver(RelayedAnswer Answer);
  Task<bool> begin(http::response_header<> Head);
  /// \p LastEventId is the id of the last event in \p Events.
  Task<bool> send(std::string_view Events,
                  std::optional<std::uint64_t> LastEventId);
  Task<bool> end();
  bool hasBegun() const { return this->HasBegun; }
  /// Returns the id of the last event that was sent to the caller or is being
  /// sent. Control may not know of it yet when it cancels an attempt.
  std::optional<std::uint64_t> lastEvent() const { return this->LastEvent; }
  /// Returns whether a final answer is being sent or was sent. Nothing else may
  /// be sent then.
  bool isAnswered() const { return this->Answering || this->Done; }
  /// Waits until no send operation is running.
  Task<void> waitUntilIdle();

  // --- Decisions of control.

  /// Ends the request with an answer that control generated.
  void refuse(HttpAnswer Answer);
  /// Stores the failure answer of an attempt until control decides on it.
  void keepFailure(const AttemptId &Attempt, RelayedAnswer Answer);
  /// Ends the request with the stored failure answer of the attempt.
  void deliverFailure(const AttemptId &Attempt);
  void abort();

  /// Waits until the request has ended and no operation uses the caller's
  /// connection any more.
  Task<void> waitUntilFinished();
  /// Sends the answer that control chose, unless an upstream's answer was sent.
  Task<void> sendFinalAnswer();

private:
  /// Counts a running operation on the caller's connection.
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
  ChangeNotifier Changes;
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
