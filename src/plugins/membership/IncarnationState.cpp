#include "plugins/membership/IncarnationState.h"

#include <tuple>

namespace banyanpick {

IncarnationState join(const IncarnationState &First,
                      const IncarnationState &Second) {
  const bool SecondWins = std::tie(Second.Version, Second.Status) >
                          std::tie(First.Version, First.Status);
  IncarnationState Result = SecondWins ? Second : First;
  Result.Leaving = First.Leaving || Second.Leaving;
  Result.Ready = First.Ready || Second.Ready;
  if (First.Version == Second.Version)
    Result.CutOff = First.CutOff || Second.CutOff;
  return Result;
}

MemberState memberState(const IncarnationState &State) {
  if (State.Status == IncarnationState::Liveness::Dead)
    return MemberState::Dead;
  if (State.Leaving)
    return MemberState::Leaving;
  if (State.Status == IncarnationState::Liveness::Suspect)
    return MemberState::Suspect;
  return MemberState::Alive;
}

IncarnationState incarnationState(const MemberUpdate &Update) {
  IncarnationState Result{Update.Version, IncarnationState::Liveness::Alive,
                          false, Update.Ready, Update.CutOff};
  switch (Update.State) {
  case MemberState::Alive:
    break;
  case MemberState::Suspect:
    Result.Status = IncarnationState::Liveness::Suspect;
    break;
  case MemberState::Dead:
    Result.Status = IncarnationState::Liveness::Dead;
    break;
  case MemberState::Leaving:
    Result.Leaving = true;
    break;
  }
  return Result;
}

} // namespace banyanpick
