/// \file
/// Decides when hosts request missing members from each other.
#pragma once

#include "base/Random.h"
#include "base/Time.h"

#include <cstdint>

namespace banyanpick {

/// The members that a host knows, in short.
struct MemberSummary {
  std::uint64_t Digest = 0;
  std::uint32_t Count = 0;
};

/// Anti-entropy between two hosts (Demers and others, Epidemic Algorithms for
/// Replicated Database Maintenance, 1987). Gossip updates reach most hosts, but
/// not one that started after an update was sent, and not all when hundreds of
/// hosts change at once. A host whose digest differs from a peer's requests the
/// differing members. Hosts with equal digests send each other nothing about
/// other members, so the traffic of a quiet deployment does not grow with it.
class MemberSync {
public:
  MemberSync() = default;
  explicit MemberSync(Random &Rng) : Rng(&Rng) {}

  /// Returns whether to request members from the peer with the summary
  /// \p Theirs now.
  bool shouldRequest(const MemberSummary &Theirs, const MemberSummary &Own,
                     Time Now);
  /// Records an answer with this number of members.
  void noteReceived(std::size_t Members, Time Now);
  /// Returns whether a request may be answered now. Hundreds of hosts that
  /// start together request from the few that they know; those not answered
  /// request from another peer.
  bool mayAnswer(Time Now) const { return Now >= this->NextAnswerAt; }
  void noteAnswer(std::size_t Members, Time Now);

  /// Returns the number of buckets that find the differences of two hosts with
  /// few members to spare.
  static std::size_t bucketsFor(const MemberSummary &Theirs,
                                const MemberSummary &Own);

private:
  /// Returns a time between \p Interval and twice as much from now. Without the
  /// draw, hosts that start together would request at the same moments from the
  /// same peers.
  Time after(Duration Interval, Time Now);

  Random *Rng = nullptr;
  Time NextRequestAt{};
  Time NextAnswerAt{};
};

} // namespace banyanpick
