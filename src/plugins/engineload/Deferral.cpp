#include "plugins/engineload/Deferral.h"

#include "base/Milliseconds.h"
#include "plugins/engineload/PrefillCost.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Places count as scarce from this share of all that are taken on,
constexpr double ScarceFrom = 0.4;

/// and with all taken, answers weigh so many times more.
constexpr double ScarceCost = 5;

/// What an engine that is full of short answers brings in a millisecond, as
/// ValueMs.
constexpr double FullEngineWorth = 0.5;

/// Callers of long prompts are told to come back, or refused for want of time,
/// only when more than half of the places are taken,
constexpr double ScarceForLong = 0.2;

/// and after a wait of so large a part of their objective: by then a burst is
/// not a moment's.
constexpr int ShortestWaitDivisor = 8;

/// A long prompt gives way to others for so many times its objective.
constexpr int LongestDeferral = 2;

/// It is read at last when its caller's time, less the objective, is no more
/// than so many times what reading takes.
constexpr double LastChanceReads = 1.5;

/// Callers come back after so much of the time that they have left, at the
/// latest: enough stays for their answer, and a burst is over or its load is
/// spread by then.
constexpr double LatestReturnShare = 1.0 / 3;

/// The soonest of them, as a share of the latest, so that those who were told
/// to come back together come back spread, and yet so late that it shows in the
/// time that they have left (see FirstTries).
constexpr double SoonestReturn = 0.6;

} // namespace

double slotScarcity(std::span<const EngineState> States) {
  double Taken = 0;
  double All = 0;
  for (const EngineState &Each : States) {
    Taken += Each.Running;
    All += Each.Running + Each.FreeSlots;
  }
  const double Share = Taken / std::max(All, 1.0);
  return std::max(0.0, Share - ScarceFrom) / (1 - ScarceFrom);
}

void weighAnswersByScarcity(std::span<EngineState> States) {
  const double Factor = 1 + (ScarceCost - 1) * slotScarcity(States);
  for (EngineState &Each : States)
    for (GapGroup &Group : Each.Answers)
      Group.ValueMs *= Factor;
}

bool wouldBeLate(const EngineState &Of, const PromptPlacement &Place,
                 const EngineParameters &Model, const DeferralTimes &Times,
                 const PlacementWeights &Weights) {
  const double WaitMs = slotWaitMs(Model, Of.Running);
  const double LeftMs = inMilliseconds(Times.Objective - Times.Waited);
  return WaitMs > 0 &&
         Place.FirstTokenMs + WaitMs > LeftMs * Weights.BudgetShare;
}

bool isWorthServingNow(const PromptPlacement &Place, const PromptWork &Work,
                       const DeferralTimes &Times, double Scarcity) {
  const bool HasWaited = Times.Waited > Times.Objective * LongestDeferral;
  const bool IsLastChance = inMilliseconds(Times.Left - Times.Objective) <
                            Place.FirstTokenMs * LastChanceReads;
  return HasWaited || IsLastChance ||
         Place.GainMs > Work.PrefillMs * Scarcity * FullEngineWorth;
}

bool cannotBeServed(const PromptPlacement &Place, const DeferralTimes &Times,
                    double Scarcity) {
  const double Share = Scarcity > ScarceForLong ? PrefillShare : 1;
  return Place.SoonestMs > inMilliseconds(Times.Left) * Share;
}

bool shouldRetryLater(const DeferralTimes &Times, double Scarcity) {
  const bool HasWaited = Times.Waited > Times.Objective / ShortestWaitDivisor;
  return Times.MayRetryLater && HasWaited && Scarcity > ScarceForLong;
}

Duration retryAfter(const DeferralTimes &Times, double Draw, Duration Soonest) {
  const double Latest = inSeconds(Times.Left) * LatestReturnShare;
  const double First = std::max(inSeconds(Soonest), Latest * SoonestReturn);
  return fromSeconds(std::min(First + (Latest - First) * Draw, Latest));
}

} // namespace banyanpick
