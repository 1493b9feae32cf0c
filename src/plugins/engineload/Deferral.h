/// \file
/// Admission of prompts while the engines run out of slots.
///
/// When a burst exceeds the slots for some seconds and every request is
/// accepted, each request waits for all earlier ones and all of them miss their
/// objectives. Callers that are asked to retry find a slot later, while the
/// accepted requests finish in time.
#pragma once

#include "plugins/engineload/EngineState.h"

namespace banyanpick {

/// Timing of a prompt that may be deferred, and what its caller accepts.
struct DeferralTimes {
  Duration Objective{};
  Duration Waited{};          ///< Since the request arrived at this host.
  Duration Left{};            ///< Until the deadline.
  bool MayRetryLater = false; ///< The caller has not been asked to retry yet.
};

/// Share of the remaining time that the prefill of a late prompt may take. The
/// answer is decoded in the remaining time.
inline constexpr double PrefillShare = 0.55;

/// Returns how scarce slots are: 0 while few are taken, 1 when all are.
double slotScarcity(std::span<const EngineState> States);

/// Increases the value of running answers while slots are scarce, because a
/// delayed answer occupies its slot for longer.
void weighAnswersByScarcity(std::span<EngineState> States);

/// Returns whether the first token of a short prompt would miss its objective
/// because the chosen engine has no slot free in time.
bool wouldBeLate(const EngineState &State, const PromptPlacement &Place,
                 const EngineParameters &Model, const DeferralTimes &Times,
                 const PlacementWeights &Weights);

/// Returns whether the first token would come after the caller's deadline on
/// every engine; such a prompt is refused at once. While slots are scarce, this
/// includes a prompt whose first token would leave no time to decode the
/// answer, because it would only take engine time from other prompts.
bool cannotBeServed(const PromptPlacement &Place, const DeferralTimes &Times,
                    double Scarcity);

/// Returns whether a long prompt is worth its cost now: the delay of other
/// answers and, while slots are scarce, the requests that its engines could
/// serve meanwhile. Always true for a caller that has waited for long, or that
/// could not be served after a further wait.
bool isWorthServingNow(const PromptPlacement &Place, const PromptWork &Work,
                       const DeferralTimes &Times, double Scarcity);

/// Returns whether the caller of a deferred long prompt is asked to retry later
/// instead of waiting at this host.
bool shouldRetryLater(const DeferralTimes &Times, double Scarcity);

/// Returns the delay until the caller's retry. The delay is at least \p
/// Soonest, but never longer than the share of the remaining time that a caller
/// may be asked to wait. \p Draw, from 0 to 1, spreads the retries of callers
/// that are refused together.
Duration retryAfter(const DeferralTimes &Times, double Draw,
                    Duration Soonest = Duration(0));

} // namespace banyanpick
