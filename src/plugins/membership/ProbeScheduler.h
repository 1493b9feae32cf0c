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

/// Among many hosts each goes round few of the others, which stay the same
/// while no host comes or goes: those 1, 2, 4, ... places further in the order
/// of names, as in the finger tables of Chord (Stoica and others, 2001). News
/// reaches all hosts in as many steps as there are such places, and connections
/// are kept; asking random hosts instead opened some eight connections a second
/// at each host.
class ProbeScheduler {
public:
  ProbeScheduler() = default;
  ProbeScheduler(ProbeLimits Limits, Random &Rng) : Limits(Limits), Rng(&Rng) {}

  /// Whether heartbeats go to a sample of the peers only.
  bool isSampling(const PeerTable &Peers) const {
    return Peers.members().size() + 1 > this->Limits.FullMeshHosts;
  }

  /// Positions of the peers to ask now. \p Partners are asked each time, too.
  std::vector<std::size_t> next(const PeerTable &Peers, const HostId &Self,
                                std::span<const HostId> Partners);

private:
  std::vector<std::size_t> fullMesh(const PeerTable &Peers);
  std::vector<std::size_t> sample(const PeerTable &Peers, const HostId &Self,
                                  std::span<const HostId> Partners);
  void refill(const PeerTable &Peers, const HostId &Self);
  /// Adds one of the dead.
  void addDead(const PeerTable &Peers, std::vector<std::size_t> &To);

  ProbeLimits Limits;
  Random *Rng = nullptr;
  std::vector<HostId> Round; ///< Still to be asked in this round.
  std::uint64_t Intervals = 0;
};

} // namespace banyanpick
