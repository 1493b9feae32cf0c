/// \file
/// The plug-in that keeps all hosts together within what engines in need take.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/enginelimits/HeldQuota.h"
#include "plugins/enginelimits/LimitState.h"
#include "plugins/enginelimits/QuotaAllocator.h"

#include <map>
#include <optional>

namespace banyanpick {

/// An engine's answers name how many requests it takes a second, from all hosts
/// together. Hosts tell each other of it at once. From then on a request goes
/// there only against room, which one of the active hosts, the same for all,
/// lends to those that want it.
class EngineLimitsPlugin : public Plugin,
                           public EngineQuota,
                           public RelayObserver,
                           public EngineObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  bool isLimited(const UpstreamId &Engine) const override;
  bool hasQuota(const UpstreamId &Engine, Time Now) const override;
  void requestQuota(const UpstreamId &Engine, Time Now) override;
  std::optional<Duration> quotaAvailableAfter(const UpstreamId &Engine,
                                              Time Now) const override;

  void attemptSent(const RelayAttempt &Each, Time Now, Actions &Out) override;
  void engineRemoved(const UpstreamId &Id, Time Now, Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  /// What is known of one engine that names a limit, or did.
  struct Limited {
    LimitState Belief;
    HostId Lender;
    HeldQuota Held;
    std::uint32_t HeldShown = 0; ///< By the gauge.
    Time WantedAt{};             ///< A request would have gone there.
    Time NextAsk = Never;        ///< For room.
    Time AskedAt{};              ///< The last time,
    std::uint64_t Number = 0;    ///< under this number; zero: answered.
    Time RoomAt = Never;       ///< As the lender said: there may be room then.
    bool IsUnreadable = false; ///< Its last answer named no limit that can be
                               ///< read.
    std::optional<QuotaAllocator> Lends; ///< While this host is the lender.
  };
  void hear(const EngineSignalsReceived &Is, Time Now, Actions &Out);
  /// Takes in a word; tells the others when it changes what is believed here
  /// and comes of an own answer (\p From is this host then).
  void believe(const UpstreamId &Engine, const LimitReport &Word,
               const HostId &From, Time Now, Actions &Out);
  void takePeer(const HostId &From, const EngineLimits &Told, Time Now,
                Actions &Out);
  void hearUnreadable(const UpstreamId &Engine, Time Now, Actions &Out);
  void takeLoan(const HostId &From, const EngineLimits::Lease &Is, Time Now);
  /// A host wants room; it is told when there is none now.
  void takeAsk(const HostId &From, const EngineLimits::LeaseRequest &Is,
               Time Now, Actions &Out);
  /// Looks who lends where, after the active hosts have changed.
  void reviewLenders(Time Now, Actions &Out);
  void setLender(const UpstreamId &Engine, Limited &Of, Time Now, Actions &Out);
  HostId lenderOf(const UpstreamId &Engine) const;
  /// Asks for room where it is wanted, and gives back what was not used.
  void borrow(const UpstreamId &Engine, Limited &Of, Time Now, Actions &Out);
  void returnUnused(const UpstreamId &Engine, Limited &Of,
                    const HeldLease &Unused, Time Now);
  void ask(const UpstreamId &Engine, Limited &Of, Time Now, Actions &Out);
  /// Lends what there is to those that wait.
  void allocate(const UpstreamId &Engine, Limited &Of, Time Now, Actions &Out);
  static void showHeld(const UpstreamId &Engine, Limited &Of, Time Now,
                       Actions &Out);
  void countUse(const UpstreamId &Engine, Time Now, Actions &Out);
  static std::uint32_t mostHeld(const Limited &Of);
  static EngineLimits::LimitReport wordFor(const UpstreamId &Engine,
                                           const Limited &Of, Time Now);
  void tell(const UpstreamId &Engine, const Limited &Of,
            std::span<const HostId> Hosts, Time Now);
  /// Sends what has gathered for each host.
  void send(Actions &Out);

  const EngineDirectory *Directory = nullptr;
  const ActiveHostsView *Active = nullptr;
  HostId Self;
  Duration Settle{};
  std::map<UpstreamId, Limited> Engines;
  std::map<HostId, EngineLimits> Outbox;
  std::vector<HostId> Hosts; ///< That are active,
  Time HostsSince{};         ///< and since when.
  std::uint64_t Asks = 0;
};

} // namespace banyanpick
