/// \file
/// Tells the peers that serve a team how much work was done for it here, and
/// takes in what they tell. Totals are cumulative, so that a lost, repeated or
/// skipped message does no harm.
#pragma once

#include "kernel/PeerMessage.h"
#include "plugins/fairness/RequestQueues.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace banyanpick {

/// Bounds of what is told.
struct UsageGossipPolicy {
  Duration Interval = seconds(1);
  std::uint64_t ItemsPerInterval = 64; ///< Over all peers together.
  Duration MaxAge = seconds(600);      ///< How long a total is remembered.
};

/// One message for one peer.
struct UsageForPeer {
  HostId To;
  TeamUsage Usage;
};

class UsageGossip {
public:
  /// The peers that serve a team, without this host.
  using PeersOfTeam = std::function<std::vector<HostId>(const TeamId &)>;

  explicit UsageGossip(const UsageGossipPolicy &Policy) : Policy(Policy) {}

  /// Work was done here.
  void record(const QueueWork &Work, Time Now);

  /// What is to be told now. At most ItemsPerInterval items go out in an
  /// interval; the others follow in turn.
  std::vector<UsageForPeer> due(const PeersOfTeam &Peers, Time Now);

  /// When due() has something to tell.
  Time nextDue() const;

  /// The work since the peer's last word; the first word of a life only sets
  /// where counting begins.
  std::vector<QueueWork> received(const HostId &From, Incarnation FromLife,
                                  const TeamUsage &Usage, Time Now);

  /// Forgets totals that have not changed for long.
  void prune(Time Now);

private:
  using WorkKey = std::pair<TeamId, std::uint32_t>;

  struct OwnTotal {
    double Tokens = 0;
    Time ChangedAt{};
    bool IsChanged = false;    ///< Since the last round of peers began.
    std::size_t PeersLeft = 0; ///< In the round that runs.
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
  std::size_t Pending = 0; ///< Totals not told to all peers yet.
  WorkKey Cursor;          ///< The last total looked at.
  std::uint64_t Round = 0;
  Time SentAt{};
};

} // namespace banyanpick
