/// \file
/// The state of the relayed requests that run on this host.
#pragma once

#include "kernel/GatewayServices.h"

#include <map>
#include <memory>

namespace banyanpick {

/// The terms of the request's route at the time of its arrival.
struct RelayTerms {
  RequestKind Kind = RequestKind::AtMostOnce;
  bool Resumable = false;     ///< A stream may resume at another upstream.
  std::uint32_t Attempts = 1; ///< Number of upstreams that it may run on.
  Duration Objective{};       ///< For the complete answer or the first event.
  Duration MaxEventGap{};     ///< Inter-event gap; zero: not declared.
  HomeRegions Homes;
};

/// A relayed request and the state of its attempts.
struct RunningRelay {
  RelayHead Head;
  RelayTerms Terms;
  std::string Route; ///< The name of its route.
  ServiceId Service;
  TeamId Team;
  std::uint64_t ConfigurationVersion = 0;
  std::uint32_t Rank = 0;
  bool NeedsKey = false;
  bool IsFirstCallerAttempt = false; ///< See CallerRetryDetector.
  Time ArrivedAt{};
  Time Deadline{}; ///< The earlier one of the caller's and the route's.
  bool IsLimitedByRoute = false; ///< The deadline is the route's time limit.

  std::optional<RelayAttempt> LiveAttempt;
  Time AnswerTimeoutAt = Never;  ///< When the live attempt is abandoned.
  std::vector<UpstreamId> RanOn; ///< Engines where it ran or may have run.
  /// Engines that recently refused it or were not reached. It certainly did not
  /// run there.
  std::vector<UpstreamId> NotRunOn;
  std::uint32_t Sends = 0;
  std::uint32_t Forwards = 0; ///< Hosts to which it was forwarded.
  /// Set while memory is being reserved.
  std::optional<SelectedEngine> PendingReservation;
  bool Began = false; ///< Part of the answer was sent to the caller.
  std::optional<std::uint64_t> LastEvent; ///< The last event passed on.
  std::optional<AttemptId> KeptFailure;   ///< The attempt whose failure is
                                          ///< delivered if no other succeeds.
  Duration FirstEventLatency{};           ///< From arrival; zero: no event yet.
  Duration MaxEventGap{};                 ///< Inter-event gap.
  Time NextAttemptAt{};                   ///< Not before this time.
  bool AwaitsTurn = false;   ///< Other prompts are dispatched first.
  Time WaitingSince = Never; ///< Since when no upstream accepts it.
  /// Since when it waits until it is known whether its contents crash engines.
  Time UndecidedSince = Never;

  /// Whether the request may run more than once.
  bool isIdempotent() const {
    return this->Terms.Kind == RequestKind::Repeatable ||
           (this->Terms.Kind == RequestKind::Stream && this->Terms.Resumable);
  }
  /// Whether the request has no upstream and waits to be sent to one.
  bool awaitsSending() const {
    return !this->LiveAttempt && !this->PendingReservation &&
           (this->AwaitsTurn || this->WaitingSince != Never ||
            this->UndecidedSince != Never);
  }
  /// Whether events of the live attempt have reached the caller.
  bool isAnswerArriving() const {
    return this->LiveAttempt && this->LiveAttempt->Began;
  }
  bool mayHaveRun() const { return !this->RanOn.empty(); }
  /// The refusal with which the request ends when no attempt is left.
  RefusalKind refusal() const {
    return this->mayHaveRun() ? RefusalKind::OutcomeUnknown
                              : RefusalKind::NotRun;
  }
  /// Whether the request may run on a further upstream.
  bool mayRunAgain() const {
    return this->isIdempotent() && this->RanOn.size() < this->Terms.Attempts;
  }
};

/// The running requests, indexed by id and by live attempt.
class RunningRelays {
public:
  RunningRelay &add(RunningRelay Relay);
  RunningRelay *find(const RequestId &Id);
  RunningRelay *findByAttempt(const AttemptId &Attempt);
  void link(const AttemptId &Attempt, const RequestId &Id);
  void unlink(const AttemptId &Attempt) { this->ByAttempt.erase(Attempt); }
  void remove(const RequestId &Id);
  std::size_t size() const { return this->ById.size(); }
  /// Returns a copy of the sorted ids, for loops that remove requests.
  std::vector<RequestId> ids() const;

private:
  std::map<RequestId, RunningRelay> ById;
  std::map<AttemptId, RequestId> ByAttempt;
};

} // namespace banyanpick
