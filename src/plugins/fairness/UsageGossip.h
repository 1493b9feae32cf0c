/// \file
/// Reports the work done for teams on this host to the peers that serve these
/// teams, and handles the reports of peers. Totals are cumulative, so that a
/// lost, repeated or skipped message has no lasting effect.
#pragma once

#include "kernel/PeerMessage.h"
#include "plugins/fairness/RequestQueues.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace banyanpick {

/// Bounds of the reports.
struct UsageGossipPolicy {
  Duration Interval = seconds(1);
  std::uint64_t ItemsPerInterval = 64; ///< Over all peers together.
  Duration MaxAge = seconds(600);      ///< How long a peer's total is kept.
};

/// A message for one peer.
struct UsageForPeer {
  HostId To;
  TeamUsage Usage;
};

class UsageGossip {
public:
  /// Returns the peers that serve a team, without this host.
  using PeersOfTeam = std::function<std::vector<HostId>(const TeamId &)>;

  explicit UsageGossip(const UsageGossipPolicy &Policy) : Policy(Policy) {}

  /// Records work done on this host.
  void record(const QueueWork &Work, Time Now);

  /// Returns the messages to send now. At most ItemsPerInterval items are sent
  /// in an interval. The remaining items follow in later intervals.
  std::vector<UsageForPeer> due(const PeersOfTeam &Peers, Time Now);

  /// Returns the next time at which due() has messages.
  Time nextDue() const;

  /// Returns the work since the previous report of the peer. The first report
  /// of an incarnation only sets the base of the totals.
  std::vector<QueueWork> received(const HostId &From, Incarnation FromLife,
                                  const TeamUsage &Usage, Time Now);

  /// Drops totals that have not changed for MaxAge; own totals after twice
  /// that.
  void prune(Time Now);

private:
  using WorkKey = std::pair<TeamId, std::uint32_t>;

  struct OwnTotal {
    double Tokens = 0;
    Time ChangedAt{};
    bool IsChanged = false;    ///< Since the last round of peers began.
    std::size_t PeersLeft = 0; ///< In the current round of peers.
  };
  struct PeerTotal {
    double Tokens = 0;
    Time ReceivedAt{};
  };
  struct PeerState {
    Incarnation Life;
    std::map<WorkKey, PeerTotal> Totals;
  };

  std::uint64_t addToMessages(const WorkKey &Key, OwnTotal &Total,
                              std::span<const HostId> Peers,
                              std::uint64_t MaxItems,
                              std::map<HostId, TeamUsage> &Messages);

  UsageGossipPolicy Policy;
  std::map<WorkKey, OwnTotal> Own;
  std::map<HostId, PeerState> PeerStates;
  std::size_t Pending = 0; ///< Totals not yet sent to all peers.
  WorkKey Cursor;          ///< The last total visited.
  std::uint64_t Round = 0;
  Time SentAt{};
};

} // namespace banyanpick
