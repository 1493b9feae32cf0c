/// \file
/// Admission of long prompts by a plan.
#include "base/Milliseconds.h"
#include "base/Visitor.h"
#include "plugins/engineload/EngineLoadPlugin.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Bounds on the interval between two decisions on a waiting prompt: the lower
/// limits the processor time of waiting prompts, the upper lets a prompt notice
/// soon that those before it are gone.
constexpr double MinPlanPollMs = 3;
constexpr double MaxPlanPollMs = 20;

/// A caller that was asked to retry goes before newer prompts of equal value:
/// the queue sorts by tokens per prefill time, and its prompt counts with more
/// tokens, by its own number divided by this.
constexpr std::uint64_t ReturnedDivisor = 2;

} // namespace

EngineChoice EngineLoadPlugin::choosePlanned(
    std::span<const EngineState> States, const EngineRequirements &Requirements,
    const PromptWork &Work, const EngineParameters &Model, Time Now) {
  EngineWork::QueuedPrompt Own;
  Own.Request = Requirements.Request.Value;
  Own.Tokens = Requirements.PromptTokens;
  if (!Requirements.MayRetryLater)
    Own.Tokens += Requirements.PromptTokens / ReturnedDivisor;
  Own.PrefillMs = Work.PrefillMs;
  Own.LeftMs = inMilliseconds(Requirements.Objective - Requirements.Waited);
  AdmissionRequest Request;
  Request.Work = Work;
  Request.EngineTokens = Model.MemoryTokens;
  Request.Times = {Requirements.Objective, Requirements.Waited,
                   Requirements.Left, Requirements.MayRetryLater};
  Request.IsFirst = this->Queue.rank(Own, this->Members->self(), Now) == 0;
  Request.MsAhead = this->Queue.prefillAheadMs(Own, this->Members->self(), Now);
  AdmissionDecision Decision = decideAdmission(States, Request, this->Weights);
  return match(
      Decision,
      [&](const SendNow &Sent) -> EngineChoice {
        this->Queue.drop(Own.Request);
        return toChosen(States, Sent.Place, &Model, false);
      },
      [&](const WaitForTurn &Waiting) -> EngineChoice {
        Own.NeededMs = Waiting.NeededMs;
        if (this->Queue.note(Own, Now))
          this->Reports.noteUrgent(Now);
        return AwaitTurn{fromMilliseconds(
            std::clamp(Waiting.CheckMs, MinPlanPollMs, MaxPlanPollMs))};
      },
      [&](const RefuseNow &Refused) -> EngineChoice {
        this->forget(Requirements.Request, Now);
        return RetryLater{RetryLater::Why::TooLate,
                          retryAfter(Request.Times,
                                     this->RandomNumbers->fraction(),
                                     fromMilliseconds(Refused.RoomMs))};
      });
}

} // namespace banyanpick
