#include "plugins/membership/MemberSync.h"

#include "kernel/PeerMessage.h"

#include <algorithm>
#include <bit>

namespace banyanpick {

namespace {

/// A request without an answer is repeated after this time, to another peer.
/// An answer over the smallest link takes a few milliseconds.
constexpr milliseconds AnswerTimeout(200);

/// Time from an answer to the next request. Gossip updates that are on their
/// way remove most of the remaining differences.
constexpr milliseconds RepairInterval(1500);

/// An answer with so many members is followed by the next request without that
/// delay, because more members are probably missing.
constexpr std::size_t LongAnswer = 32;

/// Members sent per second in answers, some 100 bytes each: a sixth of the
/// smallest link.
constexpr double MaxMembersPerSecond = 4000;

/// Hosts whose numbers of members differ by this much probably differ in many
/// members.
constexpr std::uint32_t ManyDifferences = 4;

} // namespace

Time MemberSync::after(Duration Interval, Time Now) {
  return Now + fromSeconds(inSeconds(Interval) * (1 + this->Rng->fraction()));
}

bool MemberSync::shouldRequest(const MemberSummary &Theirs,
                               const MemberSummary &Own, Time Now) {
  if (Theirs.Digest == Own.Digest || Now < this->NextRequestAt)
    return false;
  this->NextRequestAt = this->after(AnswerTimeout, Now);
  return true;
}

void MemberSync::noteReceived(std::size_t Members, Time Now) {
  if (Members < LongAnswer)
    this->NextRequestAt = this->after(RepairInterval, Now);
}

void MemberSync::noteAnswer(std::size_t Members, Time Now) {
  this->NextAnswerAt =
      std::max(Now, this->NextAnswerAt) +
      fromSeconds(static_cast<double>(Members) / MaxMembersPerSecond);
}

std::size_t MemberSync::bucketsFor(const MemberSummary &Theirs,
                                   const MemberSummary &Own) {
  const std::uint32_t Larger = std::max(Theirs.Count, Own.Count);
  const std::uint32_t Smaller = std::min(Theirs.Count, Own.Count);
  if (Larger - Smaller < ManyDifferences)
    return MinMemberBuckets;
  return std::clamp<std::size_t>(std::bit_ceil(Larger), MinMemberBuckets,
                                 MaxMemberBuckets);
}

} // namespace banyanpick
