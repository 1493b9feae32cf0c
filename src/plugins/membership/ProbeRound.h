/// \file
/// Whom to send the next heartbeats.
#pragma once

#include "base/Random.h"
#include "plugins/membership/PeerTable.h"

namespace banyanpick {

/// How many heartbeats go out at each interval.
struct ProbeLimits {
  std::size_t FullMeshHosts = 0; ///< Up to so many hosts: to every one.
  std::size_t Fanout = 0;        ///< With more hosts: to so many.
};

/// Goes round all peers in random order, so that each is asked within a
/// bounded time (the round-robin of SWIM).
class ProbeRound {
public:
  ProbeRound() = default;
  ProbeRound(ProbeLimits Limits, Random &Numbers)
      : Limits(Limits), Numbers(&Numbers) {}

  /// Whether heartbeats go to a sample of the peers only.
  bool isSampling(const PeerTable &Peers) const {
    return Peers.members().size() + 1 > this->Limits.FullMeshHosts;
  }

  /// Positions of the peers to ask now.
  std::vector<std::size_t> next(const PeerTable &Peers);

private:
  std::vector<std::size_t> everyone(const PeerTable &Peers);
  std::vector<std::size_t> sample(const PeerTable &Peers);
  void refill(const PeerTable &Peers);

  ProbeLimits Limits;
  Random *Numbers = nullptr;
  std::vector<HostId> Round;
  std::uint64_t Intervals = 0;
};

} // namespace banyanpick
