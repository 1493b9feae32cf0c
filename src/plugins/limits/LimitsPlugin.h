/// \file
/// The plug-in that keeps teams within their declared limits.
#pragma once

#include "base/LogEvent.h"
#include "kernel/Plugin.h"
#include "plugins/limits/TeamLimit.h"

#include <memory>
#include <unordered_map>

namespace banyanpick {

/// An admission gate for requests a minute, tokens a minute and requests at
/// once. Each limit holds over all entry hosts together: a host uses its share
/// and moves parts of it to the peers that need them more.
class LimitsPlugin : public Plugin,
                     public AdmissionGate,
                     public RequestObserver,
                     public MembershipObserver {
public:
  static std::vector<SettingDeclaration> settings();

  // Plugin
  void initialize(PluginContext &Context) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  // AdmissionGate
  std::optional<NotRun> check(const Request &Req, Time Now) override;

  // RequestObserver
  void admitted(const Request &Req, Time Now, Actions &Out) override;
  void ended(const Request &Req, const FinalAnswer &Answer, Time Now,
             Actions &Out) override;

  // MembershipObserver
  void memberChanged(const Member &Changed, Time Now, Actions &Out) override;

  /// The part of the team's limit that this host uses; 1 when unlimited.
  double fraction(const TeamId &Team, Time Now);

private:
  struct TeamState {
    std::unique_ptr<TeamLimit> Limit;
    TeamEntry Declared;
    std::uint64_t SplitHostsVersion =
        0; ///< Version of the hosts it was split by.
    Time ActiveUntil{};
    double ReportedDemand = 0; ///< The demand last told to peers.
    Time ReportedAt{};
    Time RepeatAt{};    ///< When gifts are told again.
    Time NextRetryAt{}; ///< Come-back times promised so far.
  };
  struct RunningRequest {
    TeamId Team;
    double Tokens = 0;
  };

  TeamState *state(const TeamId &Team, Time Now);
  void refreshHosts(Time Now);
  const ShareHost *find(const HostId &Host) const;
  NotRun refusal(TeamState &State, const LimitReached &Reached, Time Now);
  void handlePeerMessage(const PeerMessage &Message, Time Now);
  void reportToPeers(Time Now, Actions &Out);
  std::uint64_t reportTeam(const TeamId &Team, TeamState &State, Time Now,
                           std::map<HostId, TeamUsage> &Usage, Actions &Out);
  std::uint64_t sendUsage(const TeamId &Team, TeamState &State, Time Now,
                          std::map<HostId, TeamUsage> &Usage);
  std::uint64_t sendTransfers(const TeamId &Team, const TeamState &State,
                              std::span<const ShareTransfer> Transfers,
                              Time Now, Actions &Out);
  void prune(Time Now);

  Identity Self;
  LimitsPolicy Policy;
  const CatalogueView *InForce = nullptr;
  const MembershipView *Members = nullptr;
  Random *Rng = nullptr;
  std::map<TeamId, TeamState> Teams; ///< Those with limits and use.
  std::unordered_map<RequestId, RunningRequest> Running;
  std::vector<ShareHost> Hosts;
  bool AreHostsStale = true;
  std::uint64_t HostsVersion = 1;
  Time HostsChangedAt{};
  std::uint64_t TransferCount = 0;
  std::uint64_t Round = 0;
  TeamId Cursor; ///< The last team told of.
  Time ReportedAt{};
  Time ActiveUntil{}; ///< Of any team.
  Time PrunedAt{};
};

} // namespace banyanpick
