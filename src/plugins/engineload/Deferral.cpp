#include "plugins/engineload/Deferral.h"

#include "base/Milliseconds.h"
#include "plugins/engineload/PrefillCost.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Slots count as scarce from this share of occupied slots on.
constexpr double ScarcityThreshold = 0.4;

/// Factor by which answers gain value when all slots are taken.
constexpr double ScarcityWeight = 5;

/// Value, in the unit of ValueMs, that an engine full of short answers delivers
/// per millisecond.
constexpr double FullEngineValue = 0.5;

/// Scarcity above which callers of long prompts are asked to retry, or refused
/// for lack of time. It corresponds to more than half of the slots being taken.
constexpr double LongPromptScarcity = 0.2;

/// A caller of a long prompt is asked to retry only after it has waited for
/// this fraction of its objective. A burst that lasts for that long is not
/// momentary.
constexpr int MinWaitDivisor = 8;

/// Number of objectives for which a long prompt may be deferred.
constexpr int MaxDeferral = 2;

/// A long prompt is served when the remaining time, less the objective, is
/// shorter than this multiple of its time to the first token.
constexpr double LastChanceFactor = 1.5;

/// Longest retry delay, as a share of the remaining time. It leaves enough time
/// for the answer, and bursts are over or spread by then.
constexpr double MaxRetryShare = 1.0 / 3;

/// Shortest retry delay, as a share of the longest. The range spreads callers
/// that are refused together. The delay is still long enough to show in their
/// remaining time; see CallerRetryDetector.
constexpr double MinRetryShare = 0.6;

} // namespace

double slotScarcity(std::span<const EngineState> States) {
  double Running = 0;
  double All = 0;
  for (const EngineState &State : States) {
    Running += State.Running;
    All += State.Running + State.FreeSlots;
  }
  const double Share = Running / std::max(All, 1.0);
  return std::max(0.0, Share - ScarcityThreshold) / (1 - ScarcityThreshold);
}

void weighAnswersByScarcity(std::span<EngineState> States) {
  const double Factor = 1 + (ScarcityWeight - 1) * slotScarcity(States);
  for (EngineState &State : States)
    for (GapGroup &Group : State.Answers)
      Group.ValueMs *= Factor;
}

bool wouldBeLate(const EngineState &State, const PromptPlacement &Place,
                 const EngineParameters &Model, const DeferralTimes &Times,
                 const PlacementWeights &Weights) {
  const double WaitMs = slotWaitMs(Model, State.Running);
  const double LeftMs = inMilliseconds(Times.Objective - Times.Waited);
  return WaitMs > 0 &&
         Place.FirstTokenMs + WaitMs > LeftMs * Weights.BudgetShare;
}

bool isWorthServingNow(const PromptPlacement &Place, const PromptWork &Work,
                       const DeferralTimes &Times, double Scarcity) {
  const bool HasWaitedLong = Times.Waited > Times.Objective * MaxDeferral;
  const bool IsLastChance = inMilliseconds(Times.Left - Times.Objective) <
                            Place.FirstTokenMs * LastChanceFactor;
  return HasWaitedLong || IsLastChance ||
         Place.GainMs > Work.PrefillMs * Scarcity * FullEngineValue;
}

bool cannotBeServed(const PromptPlacement &Place, const DeferralTimes &Times,
                    double Scarcity) {
  const double Share = Scarcity > LongPromptScarcity ? PrefillShare : 1;
  return Place.SoonestMs > inMilliseconds(Times.Left) * Share;
}

bool shouldRetryLater(const DeferralTimes &Times, double Scarcity) {
  const bool HasWaitedLong = Times.Waited > Times.Objective / MinWaitDivisor;
  return Times.MayRetryLater && HasWaitedLong && Scarcity > LongPromptScarcity;
}

Duration retryAfter(const DeferralTimes &Times, double Draw, Duration Soonest) {
  const double Latest = inSeconds(Times.Left) * MaxRetryShare;
  const double First = std::max(inSeconds(Soonest), Latest * MinRetryShare);
  return fromSeconds(std::min(First + (Latest - First) * Draw, Latest));
}

} // namespace banyanpick
