/// \file
/// Selects the peers that receive the next heartbeats.
#pragma once

#include "base/Random.h"
#include "plugins/membership/PeerTable.h"

namespace banyanpick {

/// The number of heartbeats sent in each interval.
struct ProbeLimits {
  /// Up to this number of hosts, every host receives a heartbeat.
  std::size_t FullMeshHosts = 0;
  /// With more hosts, the number of hosts that receive a heartbeat.
  std::size_t Fanout = 0;
};

/// Schedules heartbeats. Above the full mesh limit each host cycles through a
/// few others, which stay the same as long as no host joins or leaves: the
/// hosts at distance 1, 2, 4, ... in the order of names, as in the finger
/// tables of Chord (Stoica and others, 2001). An update reaches all hosts in as
/// many steps as there are such distances, and connections are reused. Probing
/// random hosts instead opened some eight connections a second at each host.
class ProbeScheduler {
public:
  ProbeScheduler() = default;
  ProbeScheduler(ProbeLimits Limits, Random &Rng) : Limits(Limits), Rng(&Rng) {}

  /// Returns whether heartbeats are sent only to a sample of the peers.
  bool isSampling(const PeerTable &Peers) const {
    return this->isSampled(Peers.members().size() + 1);
  }
  /// The same for this number of hosts.
  bool isSampled(std::size_t Hosts) const {
    return Hosts > this->Limits.FullMeshHosts;
  }

  /// Returns the positions of the peers to probe now. \p Partners are always
  /// included.
  std::vector<std::size_t> next(const PeerTable &Peers, const HostId &Self,
                                std::span<const HostId> Partners);

private:
  std::vector<std::size_t> fullMesh(const PeerTable &Peers);
  std::vector<std::size_t> sample(const PeerTable &Peers, const HostId &Self,
                                  std::span<const HostId> Partners);
  void refill(const PeerTable &Peers, const HostId &Self);
  /// Adds one random dead peer.
  void addDead(const PeerTable &Peers, std::vector<std::size_t> &To);

  ProbeLimits Limits;
  Random *Rng = nullptr;
  std::vector<HostId> Round; ///< Hosts still to be probed in this round.
  std::uint64_t Intervals = 0;
};

} // namespace banyanpick
