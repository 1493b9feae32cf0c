#include "plugins/crashes/RunningAnswers.h"

#include <algorithm>
#include <utility>

namespace banyanpick {

std::vector<Fingerprint> contentsOf(const RelayAttempt &Attempt) {
  std::vector<Fingerprint> Result = Attempt.PromptParts;
  Result.push_back(Attempt.Content);
  return Result;
}

void RunningAnswers::began(const RelayAttempt &Attempt) {
  this->Running[Attempt.Id] = {contentsOf(Attempt), Attempt.BeganAt};
  this->NextDue = std::min(this->NextDue, Attempt.BeganAt + MaxCrashDelay);
}

std::vector<RunningAnswers::Answer> RunningAnswers::takeHarmless(Time Now) {
  std::vector<Answer> Result;
  // Called at every event, but rarely due.
  if (Now < this->NextDue)
    return Result;
  this->NextDue = Never;
  std::erase_if(this->Running, [&](auto &Entry) {
    const Time DueAt = Entry.second.BeganAt + MaxCrashDelay;
    if (Now < DueAt) {
      this->NextDue = std::min(this->NextDue, DueAt);
      return false;
    }
    Result.push_back(std::move(Entry.second));
    return true;
  });
  return Result;
}

} // namespace banyanpick
