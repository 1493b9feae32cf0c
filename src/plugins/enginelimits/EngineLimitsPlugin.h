/// \file
/// The plug-in that keeps all hosts together within the limits of engines.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/enginelimits/ConnectionUse.h"
#include "plugins/enginelimits/HeldQuota.h"
#include "plugins/enginelimits/LimitInForce.h"
#include "plugins/enginelimits/LimitState.h"
#include "plugins/enginelimits/QuotaAllocator.h"

#include <map>
#include <optional>

namespace banyanpick {

/// Tracks the limits that engines name in their answers: requests per second,
/// from all hosts together. A host that reads a limit reports it to the others
/// at once. From then on, a request to the engine requires quota. One active
/// host, the allocator, leases the quota to the hosts that request it. All
/// hosts compute the same allocator for an engine.
///
/// A cold engine is limited in the same way, by the rate that its service
/// declares; the lower of the two limits is in force.
///
/// Connections are divided among the hosts instead, see ConnectionUse.
class EngineLimitsPlugin : public Plugin,
                           public EngineQuota,
                           public RelayObserver,
                           public EngineObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &Received, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  bool isLimited(const UpstreamId &Engine) const override;
  bool isCold(const UpstreamId &Engine, Time Now) const override;
  std::uint32_t maxConnections(const UpstreamId &Engine) const override;
  bool hasQuota(const UpstreamId &Engine, Time Now) const override;
  void requestQuota(const UpstreamId &Engine, Time Now) override;
  std::optional<Duration> quotaAvailableAfter(const UpstreamId &Engine,
                                              Time Now) const override;

  void attemptSent(const RelayAttempt &Attempt, Time Now,
                   Actions &Out) override;
  void attemptEnded(const RelayAttempt &Attempt, const RelayOutcome &Outcome,
                    Time Now, Actions &Out) override;
  void attemptCancelled(const RelayAttempt &Attempt, Time Now,
                        Actions &Out) override;
  void engineRemoved(const UpstreamId &Id, Time Now, Actions &Out) override;
  void engineCold(const EngineRecord &Record, bool WasWarm, Time Now,
                  Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  /// State of one engine that has a limit or had one earlier.
  struct LimitedEngine {
    LimitState State;
    ColdState Cold;
    std::optional<LimitInForce> InForce;
    /// The leases and the allocator are those of a cold engine.
    bool IsCold = false;
    /// No quota of the cold engine is leased before. Requests that hosts sent
    /// before they heard that the engine turned cold have arrived by then.
    Time ColdQuotaFrom{};
    HostId Allocator;
    HeldQuota Held;
    std::uint32_t HeldShown = 0; ///< Held quota that the gauge shows.
    Time WantedAt{};          ///< When a request was last meant for the engine.
    Time NextRequest = Never; ///< When to request quota next.
    Time RequestedAt{};       ///< When quota was last requested.
    /// Number of the pending request; zero when it is answered.
    std::uint64_t Number = 0;
    Time QuotaAt = Never; ///< When the allocator expects quota to be free.
    /// The limit in the last answer could not be parsed.
    bool IsUnreadable = false;
    /// Set while this host is the allocator.
    std::optional<QuotaAllocator> OwnAllocator;
  };
  void takeSignal(const EngineSignalsReceived &Answer, Time Now, Actions &Out);
  /// Processes a report of a limit. Sends it to the other hosts if it changes
  /// the limit and comes from an answer to this host (\p From is this host).
  void updateLimit(const UpstreamId &Engine, const LimitReport &Report,
                   const HostId &From, Time Now, Actions &Out);
  void takePeer(const HostId &From, const EngineLimits &Message, Time Now,
                Actions &Out);
  void takeUnreadable(const UpstreamId &Engine, Time Now, Actions &Out);
  /// Applies the lowest limit after one of them has changed.
  void applyLimit(const UpstreamId &Engine, LimitedEngine &Entry, Time Now,
                  Actions &Out);
  /// Processes that an engine is cold. Sends the news to the other hosts if it
  /// comes from the registry or an answer (\p From is this host).
  /// \p TurnedCold: the engine was in use, so requests may be under way.
  void takeCold(const UpstreamId &Engine, Duration For, bool TurnedCold,
                const HostId &From, Time Now, Actions &Out);
  /// The same for a cold time that cannot be read.
  void takeUnreadableCold(const UpstreamId &Engine, const ServiceId &Service,
                          std::string_view Text, Time Now, Actions &Out);
  void takeColdSignal(const EngineSignalsReceived &Answer, Time Now,
                      Actions &Out);
  /// Applies a new configuration to the engines that are registered as cold.
  void reviewConfiguration(Time Now, Actions &Out);
  void endCold(Time Now, Actions &Out);
  const ServiceEntry *serviceOf(const UpstreamId &Engine) const;
  /// Whether this host sees most of the hosts. A host that is cut off with few
  /// others leases no quota of cold engines, because the rest have an allocator
  /// of their own.
  bool seesMostHosts() const;
  double leaseRate(const LimitedEngine &Entry) const;
  QuotaAllocator makeAllocator(const LimitedEngine &Entry, Time From) const;
  GrantBound coldBound(const LimitedEngine &Entry) const;
  static Time leaseEnd(const LimitedEngine &Entry,
                       const EngineLimits::Lease &Lease);
  void takeLease(const HostId &From, const EngineLimits::Lease &Lease,
                 Time Now);
  /// Processes a host's request for quota. Replies with the expected wait when
  /// there is no quota now.
  void takeRequest(const HostId &From,
                   const EngineLimits::LeaseRequest &Request, Time Now,
                   Actions &Out);
  /// Recomputes the allocators after the active hosts have changed.
  void reviewAllocators(Time Now, Actions &Out);
  void setAllocator(const UpstreamId &Engine, LimitedEngine &Entry, Time Now,
                    Actions &Out);
  HostId allocatorOf(const UpstreamId &Engine) const;
  /// Requests quota where it is wanted, and returns expired leases.
  void renewQuota(const UpstreamId &Engine, LimitedEngine &Entry, Time Now,
                  Actions &Out);
  void returnUnused(const UpstreamId &Engine, LimitedEngine &Entry,
                    const HeldLease &Unused, Time Now);
  void requestQuota(const UpstreamId &Engine, LimitedEngine &Entry, Time Now,
                    Actions &Out);
  /// Grants the available quota to the waiting hosts.
  void allocate(const UpstreamId &Engine, LimitedEngine &Entry, Time Now,
                Actions &Out);
  static void showHeld(const UpstreamId &Engine, LimitedEngine &Entry, Time Now,
                       Actions &Out);
  void countUse(const UpstreamId &Engine, Time Now, Actions &Out);
  static std::uint32_t maxHeld(const LimitedEngine &Entry);
  static void addReports(const UpstreamId &Engine, const LimitedEngine &Entry,
                         Time Now, EngineLimits &To);
  void sendReport(const UpstreamId &Engine, const LimitedEngine &Entry,
                  std::span<const HostId> Hosts, Time Now);
  /// Sends the collected messages to each host.
  void send(Actions &Out);

  const EngineDirectory *Directory = nullptr;
  const ActiveHostsView *Active = nullptr;
  const MembershipView *Members = nullptr;
  const RouteView *Declared = nullptr;
  HostId Self;
  Duration Settle{};
  double ColdOvershoot = 1;
  double ColdSlack = 0;
  std::map<UpstreamId, LimitedEngine> Engines;
  std::set<UpstreamId> UnreadableCold; ///< Engines that were logged.
  std::uint64_t ConfigurationVersion = 0;
  ConnectionUse Connections;
  std::map<HostId, EngineLimits> Outbox;
  std::vector<HostId> Hosts; ///< The active hosts.
  Time HostsSince{};         ///< When the active hosts last changed.
  std::uint64_t Requests = 0;
};

} // namespace banyanpick
