/// \file
/// The limits of one team on one host: the share of the host, its use, and the
/// demand on this host and on its peers.
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
  Duration Interval = seconds(1);      ///< Between two reports to peers.
  Duration Epoch = seconds(5);         ///< Until a changed split is in effect.
  Duration Burst = seconds(10);        ///< Capacity of the token buckets.
  std::uint64_t ItemsPerInterval = 64; ///< Sent to peers, over all teams.
};

/// The limit that refuses a request, and the time until a request can pass.
struct LimitReached {
  std::string_view LimitName; ///< A string literal.
  Duration Wait{};
};

class TeamLimit {
public:
  TeamLimit(const TeamEntry &Limits, ShareView Split, const Identity &Self,
            const LimitsPolicy &Policy, Time Now);

  /// Applies a split that changed at \p ChangedAt. For one epoch the host uses
  /// the lesser of its old and its new share, because peers may not know the
  /// change yet.
  void changeSplit(const TeamEntry &Limits, ShareView Split, Time ChangedAt,
                   Time Now);

  /// Records the demand. Returns nothing if the request passes.
  std::optional<LimitReached> check(double Tokens, Time Now);
  void admitted(double Tokens, Time Now);
  /// Called when a request ended. \p UnusedTokens is the part of its charge
  /// that it did not use.
  void ended(double UnusedTokens, bool HasRun, Time Now);

  /// Returns the demand of this host as reported to its peers.
  TeamUsage::Item usage(Time Now) const;
  /// Returns the demand of this host as a fraction of the limit; 1 is the whole
  /// limit.
  double ownDemandFraction(Time Now) const {
    return this->demandFraction(this->usage(Now));
  }
  void updatePeerDemand(const HostId &From, const TeamUsage::Item &Usage,
                        Time Now);
  /// Returns the hosts without a base share that have recent demand.
  std::vector<HostId> hostsWithoutBaseShare(Time Now) const;
  /// Discards the demand of a host.
  void forgetDemand(const HostId &Host) { this->Peers.erase(Host); }
  /// Called when the incarnation of a host has ended. Takes back the units that
  /// it held without a base share. The next split divides its base share.
  void reclaimShareOf(const HostId &Host);
  /// Transfers units to peers and returns the transfers to send.
  std::vector<ShareTransfer> transferByDemand(Time Now);
  /// Returns all transfers so far, for repetition.
  std::vector<ShareTransfer> transfers() const;
  /// Handles a transfer from a peer, also for a split other than the current
  /// one.
  void receiveShare(const HostId &From, const LimitShare &Share, Time Now);

  const ShareView &view() const { return this->current().view(); }
  /// Returns the fraction of the limit that this host may use now.
  double fraction(Time Now) const;
  std::uint32_t running() const { return this->Running; }
  /// Returns whether the state can be discarded: no request runs, no bucket is
  /// negative and no units were transferred.
  bool isIdle(Time Now);
  bool isConsistent() const;

private:
  struct PeerDemand {
    double DemandFraction = 0; ///< Of the limit, from demandFraction().
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
  /// The current split first, then earlier ones. When a network partition ends,
  /// its earlier split applies again, with all transfers made in that split.
  std::deque<ShareTracker> Trackers;
  Time FullShareFrom{};        ///< When the current share applies in full.
  double PreviousFraction = 1; ///< Bounds the share until FullShareFrom.
  TokenBucket Requests;
  TokenBucket Tokens;
  DemandMeter RequestDemand;
  DemandMeter TokenDemand;
  DemandMeter RefusedConcurrent; ///< Refused by the concurrency limit.
  std::uint32_t Running = 0;
  std::map<HostId, PeerDemand> Peers;
};

} // namespace banyanpick
