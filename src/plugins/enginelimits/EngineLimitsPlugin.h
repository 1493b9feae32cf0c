/// \file
/// The plug-in that keeps all hosts together within the limits that engines
/// name.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/enginelimits/HeldQuota.h"
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
  bool hasQuota(const UpstreamId &Engine, Time Now) const override;
  void requestQuota(const UpstreamId &Engine, Time Now) override;
  std::optional<Duration> quotaAvailableAfter(const UpstreamId &Engine,
                                              Time Now) const override;

  void attemptSent(const RelayAttempt &Attempt, Time Now,
                   Actions &Out) override;
  void engineRemoved(const UpstreamId &Id, Time Now, Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  /// State of one engine that names a limit or named one earlier.
  struct LimitedEngine {
    LimitState State;
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
  static EngineLimits::LimitReport
  reportFor(const UpstreamId &Engine, const LimitedEngine &Entry, Time Now);
  void sendReport(const UpstreamId &Engine, const LimitedEngine &Entry,
                  std::span<const HostId> Hosts, Time Now);
  /// Sends the collected messages to each host.
  void send(Actions &Out);

  const EngineDirectory *Directory = nullptr;
  const ActiveHostsView *Active = nullptr;
  HostId Self;
  Duration Settle{};
  std::map<UpstreamId, LimitedEngine> Engines;
  std::map<HostId, EngineLimits> Outbox;
  std::vector<HostId> Hosts; ///< The active hosts.
  Time HostsSince{};         ///< When the active hosts last changed.
  std::uint64_t Requests = 0;
};

} // namespace banyanpick
