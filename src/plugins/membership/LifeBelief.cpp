#include "plugins/membership/LifeBelief.h"

#include <tuple>

namespace banyanpick {

LifeBelief join(const LifeBelief &First, const LifeBelief &Second) {
  const bool SecondWins = std::tie(Second.Version, Second.Stands) >
                          std::tie(First.Version, First.Stands);
  LifeBelief Result = SecondWins ? Second : First;
  Result.Leaving = First.Leaving || Second.Leaving;
  Result.Ready = First.Ready || Second.Ready;
  return Result;
}

MemberState stateOf(const LifeBelief &Belief) {
  if (Belief.Stands == LifeBelief::Standing::Dead)
    return MemberState::Dead;
  if (Belief.Leaving)
    return MemberState::Leaving;
  if (Belief.Stands == LifeBelief::Standing::Suspect)
    return MemberState::Suspect;
  return MemberState::Alive;
}

LifeBelief beliefOf(const MemberUpdate &Rumour) {
  LifeBelief Result{Rumour.Version, LifeBelief::Standing::Alive, false,
                    Rumour.Ready};
  switch (Rumour.State) {
  case MemberState::Alive:
    break;
  case MemberState::Suspect:
    Result.Stands = LifeBelief::Standing::Suspect;
    break;
  case MemberState::Dead:
    Result.Stands = LifeBelief::Standing::Dead;
    break;
  case MemberState::Leaving:
    Result.Leaving = true;
    break;
  }
  return Result;
}

} // namespace banyanpick
