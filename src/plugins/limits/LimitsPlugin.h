/// \file
/// The plug-in that enforces the declared limits of teams.
#pragma once

#include "base/LogEvent.h"
#include "kernel/Plugin.h"
#include "plugins/limits/TeamLimit.h"

#include <memory>
#include <unordered_map>

namespace banyanpick {

/// An admission gate for requests per minute, tokens per minute and concurrent
/// requests. A limit applies to all entry hosts together: each host uses its
/// share of the limit and transfers units to peers with more demand.
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

  /// Returns the fraction of the team's limit that this host may use, or 1 if
  /// the team has no limits.
  double fraction(const TeamId &Team, Time Now);

private:
  struct TeamState {
    std::unique_ptr<TeamLimit> Limit;
    TeamEntry Declared;
    /// HostsVersion at the time of the split.
    std::uint64_t SplitHostsVersion = 0;
    Time ActiveUntil{};
    double ReportedDemand = 0; ///< The demand last reported to peers.
    Time ReportedAt{};
    Time RepeatAt{};    ///< When transfers are sent again.
    Time NextRetryAt{}; ///< Earliest retry time of the next refused caller.
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
  const CatalogueView *CatalogueInForce = nullptr;
  const MembershipView *Members = nullptr;
  Random *Rng = nullptr;
  std::map<TeamId, TeamState> Teams; ///< Teams with limits that are in use.
  std::unordered_map<RequestId, RunningRequest> Running;
  std::vector<ShareHost> Hosts;
  bool AreHostsStale = true;
  std::uint64_t HostsVersion = 1;
  Time HostsChangedAt{};
  std::uint64_t TransferCount = 0;
  std::uint64_t Round = 0;
  TeamId Cursor; ///< The last team reported.
  Time ReportedAt{};
  Time ActiveUntil{}; ///< The latest of all teams.
  Time PrunedAt{};
};

} // namespace banyanpick
