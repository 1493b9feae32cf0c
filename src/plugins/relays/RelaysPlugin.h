/// \file
/// The plug-in that takes relayed requests from their arrival to their end.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/relays/AttemptVerdict.h"
#include "plugins/relays/CallerRetryDetector.h"
#include "plugins/relays/RelayDispatch.h"
#include "plugins/relays/RetryAllowance.h"
#include "plugins/relays/RunningRelay.h"

namespace banyanpick {

/// The settings of section [relays].
struct RelaySettings {
  Duration MinHold{};
  double HoldShare = 0;
  Duration WaitRetryInterval{};
  Duration MemoryRetryDelay{};
  Duration RetryLater{};
  Duration DeadlineGrace{};
  Duration AnswerTimeoutMargin{};
  Duration LivenessWindow{};
  Duration MaxAnswerTimeout{};
  StreamSilenceLimits SilenceLimits;
  double AnswerTimeoutFactor = 0;
  Duration RefuseAfterStopping{};
  std::uint32_t MaxSends = 0;
};

/// What is not idempotent is sent on only where it surely did not run. Every
/// request gets its final answer at once when nothing more can be done for it.
class RelaysPlugin : public Plugin,
                     public RelayCount,
                     public EngineObserver,
                     public MemoryObserver {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  std::size_t running() const override { return this->Running.size(); }

  void memoryDecided(const RequestId &Id, std::span<const HelperEngine> Shares,
                     Time Now, Actions &Out) override;

  void engineRemoved(const UpstreamId &Id, Time, Actions &) override {
    this->LastAnswers.erase(Id);
  }
  /// Tries that the earlier life was reading or writing are over at once,
  /// instead of when their silence shows.
  void engineRestarted(const UpstreamId &Id, Time Now, Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  void receive(const RelayHead &Head, Time Now, Actions &Out);
  void admit(const RelayHead &Head, const RouteEntry &Route,
             const KeyOwner *Owner, Time Now, Actions &Out);
  /// Sends it to an upstream, or lets it wait for one.
  void send(RunningRelay &Relay, Time Now, Actions &Out);
  /// Sets memory aside where the choice needs it, and sends it.
  void dispatchChoice(RunningRelay &Relay, const SelectedEngine &Chosen,
                      Time Now, Actions &Out);
  void awaitTurn(RunningRelay &Relay, Duration CheckAfter, Time Now,
                 Actions &Out);
  void dispatch(RunningRelay &Relay, const SelectedEngine &Chosen, Time Now,
                Actions &Out);
  void wait(RunningRelay &Relay, Time Now, Actions &Out);
  void began(const RelayBegan &Is, Time Now, Actions &Out);
  void ended(const RelayEnded &Is, Time Now, Actions &Out);
  /// The live try is over; everybody is told how it ended.
  RelayAttempt endAttempt(RunningRelay &Relay, const RelayOutcome &Outcome,
                          Time Now, Actions &Out);
  void applyVerdict(RunningRelay &Relay, const RelayAttempt &Ended,
                    const RelayOutcome &Outcome, Time Now, Actions &Out);
  /// Ends it without another try; \p RetryAfter: when to come back where it did
  /// not run, if that is known.
  void finish(RunningRelay &Relay, RefusalKind Kind, std::string_view Reason,
              Time Now, Actions &Out,
              std::optional<Duration> RetryAfter = std::nullopt);
  void refuse(const RelayHead &Head, RefusalKind Kind, Duration RetryAfter,
              std::string_view Reason, Actions &Out);
  /// Drops the live try.
  void cancelAttempt(RunningRelay &Relay, Time Now, Actions &Out);
  void callerGone(const RequestId &Id, Time Now, Actions &Out);
  void check(RunningRelay &Relay, Time Now, Actions &Out);
  void abandonLiveAttempt(RunningRelay &Relay, Time Now, Actions &Out);
  /// Whether the engine of the live try answers others: then it is slow, not
  /// dead, and what it has read would only be read again elsewhere.
  bool isSlowButAlive(const RunningRelay &Relay, Time Now) const;
  Time wakeTime(const RunningRelay &Relay) const;
  void scheduleCheck(const RunningRelay &Relay, Time Now);
  Duration answerTimeout(const RunningRelay &Relay,
                         const SelectedEngine &Chosen) const;
  bool refusesWhileStopping(Time Now) const;
  /// This host's part of the repeats that all hosts together may send.
  double budgetShare() const;
  ServiceId serviceFor(const RouteEntry &Route);

  Services *PluginServices = nullptr;
  Identity Own;
  const MembershipView *Members = nullptr;
  const ActiveHostsView *Active = nullptr;
  const RouteView *RouteState = nullptr;
  EngineDirectory *Directory = nullptr;
  EngineSelector *Selector = nullptr;
  MemoryReserver *Memory = nullptr;
  const EngineGate *Gate = nullptr;
  const CrashView *Crashes = nullptr;
  Random *RandomSource = nullptr;
  RelaySettings Options;
  RetryAllowance Allowance;
  CallerRetryDetector RetryDetector;
  std::map<UpstreamId, Time> LastAnswers; ///< When each last gave something.
  RunningRelays Running;
  std::uint64_t AttemptCount = 0;
  Time StoppingSince = Never;
  Time NextCheck = Never;
};

/// The settings with their defaults.
std::vector<SettingDeclaration> relaySettingDeclarations();
RelaySettings readRelaySettings(const Settings &Values);
RetryBudgetLimits retryBudgetLimits(const Settings &Values);

} // namespace banyanpick
