#include "plugins/groups/GroupTaking.h"

#include <algorithm>

namespace banyanpick {

GroupTaking GroupTaking::of(const Request &Asked, const Selected &Choice) {
  GroupTaking New;
  New.Owner = Asked.id();
  New.TokensEach = Choice.GroupTokensEach;
  New.Deadline = Asked.Deadline;
  for (const UpstreamId &Each : Choice.Group)
    New.Members.push_back({Each, HoldId(), GroupMember::State::Wanted});
  std::sort(New.Members.begin(), New.Members.end(),
            [](const GroupMember &Left, const GroupMember &Right) {
              return Left.Engine < Right.Engine;
            });
  return New;
}

GroupMember *GroupTaking::next() {
  for (GroupMember &Each : this->Members)
    if (Each.Is != GroupMember::State::Granted)
      return &Each;
  return nullptr;
}

GroupMember *GroupTaking::find(const HoldId &Hold) {
  for (GroupMember &Each : this->Members)
    if (Each.Is != GroupMember::State::Wanted && Each.Hold == Hold)
      return &Each;
  return nullptr;
}

std::vector<HoldId> GroupTaking::holds() const {
  std::vector<HoldId> Result;
  for (const GroupMember &Each : this->Members)
    if (Each.Is == GroupMember::State::Granted)
      Result.push_back(Each.Hold);
  return Result;
}

} // namespace banyanpick
