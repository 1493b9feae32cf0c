#include "plugins/engineload/LostAnswers.h"

#include "base/Milliseconds.h"
#include "plugins/engineload/PrefillCost.h"

#include <algorithm>

namespace banyanpick {

Time predictedEnd(const RelayAttempt &Attempt, const EngineParameters &Model) {
  if (Attempt.Predicted <= Duration(0))
    return Attempt.SentAt;
  const double Steps = std::max<double>(Model.StepsPerPass, 1);
  const double StepMs =
      decodePassMs(Model, 1, Attempt.PromptTokens + Attempt.OutputTokens) /
      Steps;
  const double Usual = static_cast<double>(Model.MeanAnswerTokens);
  const auto Longest = static_cast<double>(Attempt.OutputTokens);
  const double Tokens = Usual > 0 && Longest > 0 ? std::min(Usual, Longest)
                                                 : std::max(Usual, Longest);
  return Attempt.SentAt + Attempt.Predicted + fromMilliseconds(Tokens * StepMs);
}

bool LostAnswers::keep(const RelayAttempt &Attempt, Time EndsAt, Time Now) {
  const Time Until = std::min(EndsAt, Now + this->MaxTime);
  if (Until <= Now)
    return false;
  this->Kept.push_back({Attempt, Until});
  return true;
}

template <class Predicate>
std::vector<RelayAttempt> LostAnswers::takeWhere(Predicate Matches) {
  std::vector<RelayAttempt> Result;
  for (const Entry &Item : this->Kept)
    if (Matches(Item))
      Result.push_back(Item.Attempt);
  std::erase_if(this->Kept, Matches);
  return Result;
}

std::vector<RelayAttempt> LostAnswers::takeDue(Time Now) {
  return this->takeWhere([&](const Entry &Item) { return Now >= Item.Until; });
}

std::vector<RelayAttempt> LostAnswers::takeOf(const UpstreamId &Engine) {
  return this->takeWhere(
      [&](const Entry &Item) { return Item.Attempt.Engine == Engine; });
}

Time LostAnswers::nextDue() const {
  Time Result = Never;
  for (const Entry &Item : this->Kept)
    Result = std::min(Result, Item.Until);
  return Result;
}

} // namespace banyanpick
