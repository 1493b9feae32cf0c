/// \file
/// One team's limits on one host: its share of them, what is used, and what
/// is asked for here and on the other hosts.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/limits/DemandMeter.h"
#include "plugins/limits/ShareTracker.h"
#include "plugins/limits/TokenBucket.h"

#include <deque>
#include <map>
#include <optional>

namespace banyanpick {

struct LimitsPolicy {
  Duration Interval = seconds(1);      ///< Between two looks at the shares.
  Duration Epoch = seconds(5);         ///< After which a changed split holds.
  Duration Burst = seconds(10);        ///< What the buckets can hold.
  std::uint64_t ItemsPerInterval = 64; ///< Told to peers, over all teams.
};

/// Why a request does not pass, and when the next one would.
struct LimitReached {
  std::string_view LimitName; ///< A string literal.
  Duration Wait{};
};

class TeamLimit {
public:
  TeamLimit(const TeamEntry &Limits, ShareView Split, const Identity &Self,
            const LimitsPolicy &Policy, Time Now);

  /// The split changed at \p ChangedAt. Until an epoch later the host holds
  /// the lesser of its old and its new share, as others may not know yet.
  void changeSplit(const TeamEntry &Limits, ShareView Split, Time ChangedAt,
                   Time Now);

  /// Notes the demand; nothing when the request passes.
  std::optional<LimitReached> check(double Tokens, Time Now);
  void admitted(double Tokens, Time Now);
  /// A request ended, having used this much less than was charged for it.
  void ended(double UnusedTokens, bool HasRun, Time Now);

  /// What this host tells its peers of its demand.
  TeamUsage::Item usage(Time Now) const;
  /// The same as a part of the limit; 1 is all of it.
  double ownDemandFraction(Time Now) const {
    return this->demandFraction(this->usage(Now));
  }
  void updatePeerDemand(const HostId &From, const TeamUsage::Item &Usage,
                        Time Now);
  /// Hosts without a base share that asked for some lately.
  std::vector<HostId> hostsWithoutBaseShare(Time Now) const;
  /// A host has nothing to ask for now.
  void forgetDemand(const HostId &Host) { this->Peers.erase(Host); }
  /// A host's life is surely over. What it held as a guest is taken back; what
  /// it held as a host of the view is divided by the next view.
  void reclaimShareOf(const HostId &Host);
  /// What is to be given to peers now.
  std::vector<ShareTransfer> transferByDemand(Time Now);
  /// Gifts so far, to be repeated.
  std::vector<ShareTransfer> transfers() const;
  /// A peer gave; also to a view that is not the present one.
  void receiveShare(const HostId &From, const LimitShare &Share, Time Now);

  const ShareView &view() const { return this->current().view(); }
  /// The part of the limit that this host uses now.
  double fraction(Time Now) const;
  std::uint32_t running() const { return this->Running; }
  /// Whether it can be forgotten: nothing runs, is owed, or was given away.
  bool isIdle(Time Now);
  bool isConsistent() const;

private:
  struct PeerDemand {
    double DemandFraction = 0; ///< Parts of the limit, like demandFraction().
    Time ReceivedAt{};
  };

  const ShareTracker &current() const { return this->Trackers.front(); }
  ShareTracker &current() { return this->Trackers.front(); }
  std::uint64_t units(Time Now) const;
  void applyShare(Time Now);
  double demandFraction(const TeamUsage::Item &Usage) const;
  double peerDemand(const HostId &Peer, Time Now) const;

  TeamEntry Limits;
  HostId Self;
  Incarnation SelfLife;
  LimitsPolicy Policy;
  /// The present view first, then those it may return to. A cut that heals
  /// brings back its view, with all that was given under it.
  std::deque<ShareTracker> Trackers;
  Time FullShareFrom{};        ///< When the present share holds in full.
  double PreviousFraction = 1; ///< Bounds the share until then.
  TokenBucket Requests;
  TokenBucket Tokens;
  DemandMeter RequestDemand;
  DemandMeter TokenDemand;
  DemandMeter RefusedConcurrent; ///< Refused for too many at once.
  std::uint32_t Running = 0;
  std::map<HostId, PeerDemand> Peers;
};

} // namespace banyanpick
