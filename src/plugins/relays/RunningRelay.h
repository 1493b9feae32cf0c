/// \file
/// One relayed request while it is under way here.
#pragma once

#include "kernel/GatewayServices.h"

#include <map>
#include <memory>

namespace banyanpick {

/// What its route allows, as it was when the request came.
struct RelayTerms {
  RequestKind Kind = RequestKind::AtMostOnce;
  bool Resumable = false;     ///< A stream may go on at another upstream.
  std::uint32_t Attempts = 1; ///< Upstreams that it may run on.
  Duration Objective{};       ///< To the whole answer or the first event.
  Duration MaxEventGap{};     ///< Between events; zero: not declared.
};

/// A request with what is known of its tries.
struct RunningRelay {
  RelayHead Head;
  RelayTerms Terms;
  ServiceId Service;
  TeamId Team;
  std::uint64_t ConfigurationVersion = 0;
  std::uint32_t Rank = 0;
  bool NeedsKey = false;
  bool IsFirstCallerAttempt =
      false; ///< Of its caller, see CallerRetryDetector.
  Time ArrivedAt{};
  Time Deadline{}; ///< Of the caller or the route, whichever is first.
  bool IsLimitedByRoute = false; ///< The route's time limit is first.

  std::optional<RelayAttempt> LiveAttempt;
  Time AnswerTimeoutAt = Never;     ///< The live try is given up then.
  std::vector<UpstreamId> RanOn;    ///< Where it ran or may have run.
  std::vector<UpstreamId> NotRunOn; ///< Where it surely did not, of late.
  std::uint32_t Sends = 0;
  std::optional<SelectedEngine>
      PendingReservation; ///< Memory is being set aside for it.
  bool Began = false;     ///< A part of the answer went to the caller.
  std::optional<std::uint64_t> LastEvent; ///< The last event passed on.
  std::optional<AttemptId> KeptFailure;   ///< An upstream's failure to deliver
                                          ///< if nothing better comes.
  Duration FirstEventLatency{};           ///< From arrival; zero: not yet.
  Duration MaxEventGap{};                 ///< Between events.
  Time NextAttemptAt{};                   ///< Not sooner.
  bool AwaitsTurn = false;                ///< Other prompts go before it.
  Time WaitingSince = Never;              ///< No upstream could take it since.

  /// Whether a second run does no harm.
  bool isIdempotent() const {
    return this->Terms.Kind == RequestKind::Repeatable ||
           (this->Terms.Kind == RequestKind::Stream && this->Terms.Resumable);
  }
  /// Whether it is with no upstream, and to be sent once one can take it.
  bool awaitsSending() const {
    return !this->LiveAttempt && !this->PendingReservation &&
           (this->AwaitsTurn || this->WaitingSince != Never);
  }
  bool mayHaveRun() const { return !this->RanOn.empty(); }
  /// How it ends when nothing more can be done for it.
  RefusalKind refusal() const {
    return this->mayHaveRun() ? RefusalKind::OutcomeUnknown
                              : RefusalKind::NotRun;
  }
  /// Whether another upstream may run it, too.
  bool mayRunAgain() const {
    return this->isIdempotent() && this->RanOn.size() < this->Terms.Attempts;
  }
};

/// The requests under way, by their ids and by their live tries.
class RunningRelays {
public:
  RunningRelay &add(RunningRelay Relay);
  RunningRelay *find(const RequestId &Id);
  RunningRelay *findByAttempt(const AttemptId &Attempt);
  void link(const AttemptId &Attempt, const RequestId &Id);
  void unlink(const AttemptId &Attempt) { this->ByAttempt.erase(Attempt); }
  void remove(const RequestId &Id);
  std::size_t size() const { return this->ById.size(); }
  /// Ids in their order, for loops that may remove.
  std::vector<RequestId> ids() const;

private:
  std::map<RequestId, RunningRelay> ById;
  std::map<AttemptId, RequestId> ByAttempt;
};

} // namespace banyanpick
