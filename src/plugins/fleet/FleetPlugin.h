/// \file
/// The plug-in that tracks the upstreams, their state and their load.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/fleet/EngineFollowers.h"
#include "plugins/fleet/UpstreamTable.h"
#include "plugins/fleet/WorkTracker.h"

#include <set>

namespace banyanpick {

/// Merges the host list, load reports, messages of peers and the outcomes of
/// this host's attempts.
class FleetPlugin : public Plugin,
                    public FleetView,
                    public RequestObserver,
                    public MembershipObserver,
                    public StatusContributor {
public:
  // Plugin
  void initialize(PluginContext &Context) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  // FleetView
  std::span<const Upstream> upstreams() const override {
    return this->Table.upstreams();
  }
  std::span<const std::uint32_t>
  enginesWith(const ModelId &Model) const override {
    return this->Table.enginesWith(Model);
  }
  std::span<const std::uint32_t>
  applications(const std::string &Service) const override {
    return this->Table.applications(Service);
  }
  const Upstream *find(const UpstreamId &Id) const override;

  // RequestObserver
  void dispatched(const Request &ClientRequest, const Attempt &Started,
                  Time Now, Actions &Out) override;
  void firstToken(const Request &ClientRequest, const Attempt &Attempted,
                  Time Now, Actions &Out) override;
  void attemptEnded(const Request &ClientRequest, const Attempt &Ended,
                    const AttemptOutcome &Outcome, Time Now,
                    Actions &Out) override;

  // MembershipObserver
  void memberChanged(const Member &Changed, Time Now, Actions &Out) override;

  void contribute(StatusReport &Report, Time Now) const override;

  /// The settings with their defaults.
  static std::vector<SettingDeclaration> settings();

private:
  /// The state of polling one upstream.
  struct PollRecord {
    Time PollSentAt = Never; ///< The unanswered poll; Never: none is pending.
    Time RelayedAt{};
    LoadReport Relayed; ///< The last report relayed to the peers.
  };

  void applyHostList(const HostListRead &List, Time Now);
  void handlePollAnswer(const LoadReport &Report, Time Now, Actions &Out);
  void handlePollFailure(const LoadPollFailed &Failure, Time Now);
  void handlePeerMessage(const PeerMessage &Message, Time Now);
  void handleNotice(const UpstreamNotice &Notice, Time Now);
  void relay(const LoadReport &Report, Time Now, Actions &Out);
  void poll(Time Now, Actions &Out);
  void pollOne(const Upstream &Target, Time Now, Actions &Out);
  void sendWork(Time Now, Actions &Out);
  std::vector<HostId> workReceivers() const;
  Duration workSendInterval() const;
  void refreshWork(const UpstreamId &Id);
  /// Sends the peer a notice for each upstream that is leaving.
  void sendLeavingNotices(const HostId &Peer, Actions &Out) const;
  void resendLeavingToNextPeer(Actions &Out);
  void announceChanges(Time Now, Actions &Out);
  bool followsAll() const;
  bool isFollowed(const UpstreamListing &Listing) const;

  std::uint64_t ResendCount = 0; ///< Resends so far; selects the next peer.
  const MembershipView *Members = nullptr;
  Services *Registry = nullptr;
  UpstreamTable Table;
  WorkTracker Tracker;
  EngineFollowers Followers;
  std::unordered_map<UpstreamId, PollRecord> Polls;
  std::set<ZoneId> FollowedZones; ///< Empty: all.
  Duration PollInterval{};
  Duration PollTimeout{};
  Duration StaleAfter{};
  Duration RelayInterval{};
  Duration WorkInterval{};
  std::size_t FullPollHosts = 0;
  Time NextPoll{};
  Time DetectFailuresFrom{};
  Time NextWork = Never;
  bool WorkChanged = false;
};

} // namespace banyanpick
