/// \file
/// The plug-in that knows the upstreams and how they are doing.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/fleet/EngineFollowers.h"
#include "plugins/fleet/UpstreamTable.h"
#include "plugins/fleet/WorkLedger.h"

#include <set>

namespace banyanpick {

/// Joins the host list, load reports, what the peers say and what the tries of
/// this host met.
class FleetPlugin : public Plugin,
                    public FleetView,
                    public RequestObserver,
                    public MembershipObserver,
                    public StatusContributor {
public:
  // Plugin
  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
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
  void dispatched(const Request &Asked, const Attempt &Started, Time Now,
                  Actions &Out) override;
  void firstToken(const Request &Asked, const Attempt &Of, Time Now,
                  Actions &Out) override;
  void attemptEnded(const Request &Asked, const Attempt &Ended,
                    const AttemptOutcome &Outcome, Time Now,
                    Actions &Out) override;

  // MembershipObserver
  void memberChanged(const Member &Changed, Time Now, Actions &Out) override;

  void contribute(StatusReport &Report, Time Now) const override;

  /// The settings with their defaults.
  static std::vector<SettingDeclaration> settings();

private:
  /// What is kept of the polling of one upstream.
  struct Polling {
    Time AskedAt = Never; ///< Not answered yet; Never: nothing is asked.
    Time RelayedAt{};
    LoadReport Relayed; ///< What the peers were told last.
  };

  void takeList(const HostListRead &List, Time Now);
  void takePollAnswer(const LoadReport &Report, Time Now, Actions &Out);
  void takePollFailure(const LoadPollFailed &Failure, Time Now);
  void takePeerMessage(const PeerMessage &Message, Time Now);
  void takeNotice(const UpstreamNotice &Notice, Time Now);
  void relay(const LoadReport &Report, Time Now, Actions &Out);
  void poll(Time Now, Actions &Out);
  void pollOne(const Upstream &Of, Time Now, Actions &Out);
  void tellWork(Time Now, Actions &Out);
  std::vector<HostId> toldOfWork() const;
  Duration tellInterval() const;
  void refreshWork(const UpstreamId &On);
  /// Tells the peer which upstreams are leaving.
  void remindOfLeaving(const HostId &Peer, Actions &Out) const;
  void remindNextPeer(Actions &Out);
  void announceChanges(Time Now, Actions &Out);
  bool followsAll() const;
  bool isFollowed(const UpstreamListing &Listing) const;

  std::uint64_t Reminded = 0; ///< Peers reminded of leaving upstreams.
  const MembershipView *Members = nullptr;
  Services *Offered = nullptr;
  UpstreamTable Table;
  WorkLedger Ledger;
  EngineFollowers Followers;
  std::unordered_map<UpstreamId, Polling> Polls;
  std::set<ZoneId> FollowedZones; ///< Empty: all.
  Duration PollInterval{};
  Duration PollTimeout{};
  Duration StaleAfter{};
  Duration RelayInterval{};
  Duration WorkInterval{};
  std::size_t FullPollHosts = 0;
  Time NextPoll{};
  Time JudgeFrom{};
  Time NextWork = Never;
  bool WorkChanged = false;
};

} // namespace banyanpick
