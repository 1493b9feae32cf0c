/// \file
/// Which prompts give way to others when the engines' places run out.
///
/// The load that it answers: a burst that exceeds the engines' places for some
/// seconds. If all who come are taken, each waits for those before it, so that
/// nobody is in time from then on. Callers who are told to come back find a
/// place later, while the others are in time.
#pragma once

#include "plugins/engineload/EngineState.h"

namespace banyanpick {

/// What is known of the caller of a prompt that may give way.
struct DeferralTimes {
  Duration Objective{};
  Duration Waited{};          ///< Since it arrived here.
  Duration Left{};            ///< Until its time is over.
  bool MayRetryLater = false; ///< It has not tried before.
};

/// Share of the time left that a prompt which is late may be read in; its
/// answer is written in what remains.
inline constexpr double PrefillShare = 0.55;

/// How scarce places are: 0 while few are taken, 1 when all are.
double slotScarcity(std::span<const EngineState> States);

/// Makes answers that are held up weigh more while places are scarce: they keep
/// their places longer, which is what makes the places run out.
void weighAnswersByScarcity(std::span<EngineState> States);

/// Whether the first token of a short prompt would be late, since so many wait
/// for a place on the chosen engine.
bool wouldBeLate(const EngineState &Of, const PromptPlacement &Place,
                 const EngineParameters &Model, const DeferralTimes &Times,
                 const PlacementWeights &Weights);

/// Whether the first token of the prompt would come too late for its caller
/// wherever it is read: then it is refused at once. While places are scarce,
/// what would leave no time for its answer is refused, too: it would only take
/// the engines' time from others.
bool cannotBeServed(const PromptPlacement &Place, const DeferralTimes &Times,
                    double Scarcity);

/// Whether reading a long prompt now brings more than it costs others: those it
/// holds up, and, while places are scarce, those that its engines could serve
/// meanwhile. A caller who has waited for long, or could not be served any more
/// after waiting, is served all the same.
bool isWorthServingNow(const PromptPlacement &Place, const PromptWork &Work,
                       const DeferralTimes &Times, double Scarcity);

/// Whether the caller of a long prompt that is not to be read now should come
/// back, instead of waiting here.
bool shouldRetryLater(const DeferralTimes &Times, double Scarcity);

/// When the caller should come back, not before \p Soonest unless that is later
/// than a caller may be told; \p Draw, from 0 to 1, spreads those who were told
/// so together.
Duration retryAfter(const DeferralTimes &Times, double Draw,
                    Duration Soonest = Duration(0));

} // namespace banyanpick
