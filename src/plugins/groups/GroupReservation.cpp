#include "plugins/groups/GroupReservation.h"

#include <algorithm>

namespace banyanpick {

GroupReservation GroupReservation::forRequest(const Request &ClientRequest,
                                              const Selected &Choice) {
  GroupReservation Result;
  Result.Owner = ClientRequest.id();
  Result.TokensEach = Choice.GroupTokensEach;
  Result.Deadline = ClientRequest.Deadline;
  for (const UpstreamId &Id : Choice.Group)
    Result.Members.push_back({Id, HoldId(), GroupMember::State::Pending});
  std::sort(Result.Members.begin(), Result.Members.end(),
            [](const GroupMember &Left, const GroupMember &Right) {
              return Left.Engine < Right.Engine;
            });
  return Result;
}

GroupMember *GroupReservation::nextNotGranted() {
  for (GroupMember &Member : this->Members)
    if (Member.Status != GroupMember::State::Granted)
      return &Member;
  return nullptr;
}

GroupMember *GroupReservation::find(const HoldId &Hold) {
  for (GroupMember &Member : this->Members)
    if (Member.Status != GroupMember::State::Pending && Member.Hold == Hold)
      return &Member;
  return nullptr;
}

std::vector<HoldId> GroupReservation::holds() const {
  std::vector<HoldId> Result;
  for (const GroupMember &Member : this->Members)
    if (Member.Status == GroupMember::State::Granted)
      Result.push_back(Member.Hold);
  return Result;
}

} // namespace banyanpick
