/// \file
/// The plug-in that handles relayed requests from arrival to final answer.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/relays/AnswerTimes.h"
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
  Duration DefaultRetryAfter{};
  Duration DeadlineGrace{};
  Duration AnswerTimeoutMargin{};
  Duration LivenessWindow{};
  Duration MaxAnswerTimeout{};
  StreamSilenceLimits SilenceLimits;
  double AnswerTimeoutFactor = 0;
  std::uint32_t MaxSends = 0;
  bool WithholdBudgetAtStart = true;
};

/// A request with less time left is not sent to an upstream. It covers the
/// network delay and the shortest processing time.
inline constexpr milliseconds MinAttemptTime(20);

/// Dispatches relayed requests to engines, retries them and ends them. A
/// request that is not idempotent is retried only if it certainly did not run
/// before. Every request gets its final answer as soon as no further attempt is
/// possible.
class RelaysPlugin : public Plugin,
                     public RelayCount,
                     public EngineObserver,
                     public MemoryObserver,
                     public QuarantineObserver {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  std::size_t running() const override { return this->Running.size(); }

  void memoryDecided(const RequestId &Id, std::span<const HelperEngine> Shares,
                     Time Now, Actions &Out) override;
  /// Ends the attempt whose engine does not run it, and tries another engine.
  void memoryIdle(const RequestId &Id, Time Now, Actions &Out) override;

  void engineRemoved(const UpstreamId &Id, Time, Actions &) override {
    this->LastAnswers.erase(Id);
  }
  /// Ends the attempts that the earlier incarnation was prefilling or decoding
  /// at once, instead of after their timeout.
  void engineRestarted(const UpstreamId &Id, Time Now, Actions &Out) override;

  void contentQuarantined(Fingerprint Content, Time Now, Actions &Out) override;

  static std::vector<SettingDeclaration> settings();

private:
  void receive(const RelayHead &Head, Time Now, Actions &Out);
  void admit(const RelayHead &Head, const RouteEntry &Route,
             const KeyOwner *Owner, Time Now, Actions &Out);
  /// Sends the request to an upstream, or lets it wait for one.
  void send(RunningRelay &Relay, Time Now, Actions &Out);
  /// Whether this host has no path to the engines of the request's service.
  bool isOutOfReach(const RunningRelay &Relay, Time Now) const;
  /// Forwards the request to another host, or ends it if this host stops before
  /// the answer would end. Returns false if there is no host that reaches the
  /// engines, or if the request may have run.
  bool forward(RunningRelay &Relay, Time Now, Actions &Out);
  /// Makes \p Attempt the live attempt of the request.
  void beginAttempt(RunningRelay &Relay, const RelayAttempt &Attempt, Time Now,
                    Actions &Out);
  /// Calls \p Notify for each observer, unless the attempt is a forward.
  template <class Function>
  void notifyObservers(const RelayAttempt &Attempt, Function Notify) const;
  /// Sends the request, after a memory reservation if the choice needs one.
  void dispatchChoice(RunningRelay &Relay, const SelectedEngine &Chosen,
                      Time Now, Actions &Out);
  void awaitTurn(RunningRelay &Relay, Duration CheckAfter, Time Now,
                 Actions &Out);
  void dispatch(RunningRelay &Relay, const SelectedEngine &Chosen, Time Now,
                Actions &Out);
  void wait(RunningRelay &Relay, Time Now, Actions &Out);
  void began(const RelayBegan &Begin, Time Now, Actions &Out);
  void ended(const RelayEnded &End, Time Now, Actions &Out);
  /// Records how long the answer took that has ended.
  void recordAnswerTime(const RunningRelay &Relay, Time Now);
  /// Removes the live attempt, notifies the observers and returns the attempt.
  RelayAttempt endAttempt(RunningRelay &Relay, const RelayOutcome &Outcome,
                          Time Now, Actions &Out);
  void applyVerdict(RunningRelay &Relay, const RelayAttempt &Ended,
                    const RelayOutcome &Outcome, Time Now, Actions &Out);
  /// Ends the request without a further attempt. \p RetryAfter is the delay
  /// that is sent to the caller if the request did not run; by default, that of
  /// the settings.
  void finish(RunningRelay &Relay, RefusalKind Kind, std::string_view Reason,
              Time Now, Actions &Out,
              std::optional<Duration> RetryAfter = std::nullopt);
  void refuse(const RelayHead &Head, RefusalKind Kind, Duration RetryAfter,
              std::string_view Reason, Time Now, Actions &Out);
  /// Refuses a request that the configuration does not allow. The refusal is
  /// final only if no newer configuration may allow it.
  void refuseByConfiguration(const RelayHead &Head, RefusalKind Kind,
                             std::string_view Reason, Time Now, Actions &Out);
  /// Lets the request wait, or ends it, if one of its contents may crash
  /// engines. Returns whether it may be sent.
  bool passQuarantine(RunningRelay &Relay, Time Now, Actions &Out);
  /// Lets the request wait until it is known whether its contents crash
  /// engines.
  void awaitDecision(RunningRelay &Relay, Time Now, Actions &Out);
  /// Ends the requests with newly quarantined contents, except those whose
  /// answers arrive and those that decide whether the contents crash engines.
  void finishNewlyQuarantined(Time Now, Actions &Out);
  /// Ends a request whose content is quarantined without a further attempt.
  void finishQuarantined(RunningRelay &Relay, Time Now, Actions &Out);
  /// Cancels the live attempt.
  void cancelAttempt(RunningRelay &Relay, Time Now, Actions &Out);
  /// Cancels the live attempt, which ends as broken for this reason, and sends
  /// the request elsewhere or ends it.
  void breakAttempt(RunningRelay &Relay, RelayBroken::Why Reason, Time Now,
                    Actions &Out);
  void callerGone(const RequestId &Id, Time Now, Actions &Out);
  /// Whether the request may be sent now, with regard to the stop of this host.
  /// \p Predicted is the predicted time to its first event; zero: unknown.
  bool canEndBeforeStop(const RunningRelay &Relay, Duration Predicted,
                        Time Now) const;
  /// Whether this host stops before the request's deadline.
  bool mayOutlastStop(const RunningRelay &Relay) const;
  /// Whether another host takes requests.
  bool otherHostStays() const;
  /// Returns the delay for callers of this host, which stops.
  Duration retryAfterStop() const;
  /// Ends a request that can't end before this host stops, so that its caller
  /// asks another host.
  void finishForStop(RunningRelay &Relay, Time Now, Actions &Out);
  /// Ends a request that still runs when this host is about to exit.
  void finishBeforeExit(RunningRelay &Relay, Time Now, Actions &Out);
  /// Applies the deadline, the answer timeout and a due dispatch.
  void check(RunningRelay &Relay, Time Now, Actions &Out);
  /// Sends the request to another engine if one can take it.
  void abandonLiveAttempt(RunningRelay &Relay, Time Now, Actions &Out);
  /// Whether the live attempt's engine answers other requests. It is then slow
  /// and not dead, and another engine would only repeat its prefill.
  bool isSlowButAlive(const RunningRelay &Relay, Time Now) const;
  Time wakeTime(const RunningRelay &Relay) const;
  void scheduleCheck(const RunningRelay &Relay, Time Now);
  Duration answerTimeout(const RunningRelay &Relay,
                         const SelectedEngine &Chosen) const;
  /// This host's share of the constant part of the retry budget.
  double budgetShare() const;
  ServiceId serviceFor(const RouteEntry &Route);

  Services *Registry = nullptr;
  Identity Own;
  const MembershipView *Members = nullptr;
  const ActiveHostsView *Active = nullptr;
  const RouteView *RouteState = nullptr;
  EngineDirectory *Directory = nullptr;
  EngineSelector *Selector = nullptr;
  MemoryReserver *Memory = nullptr;
  const EngineGate *Gate = nullptr;
  const EngineQuota *Quota = nullptr;
  CrashView *Crashes = nullptr;
  const EngineReachView *Reach = nullptr;
  const StopSchedule *Stop = nullptr;
  Random *RandomSource = nullptr;
  RelaySettings Options;
  RetryAllowance Allowance;
  CallerRetryDetector RetryDetector;
  AnswerTimes Durations;
  /// Time of each engine's last answer.
  std::map<UpstreamId, Time> LastAnswers;
  RunningRelays Running;
  /// A content was quarantined during the present event.
  bool HasNewQuarantine = false;
  std::uint64_t AttemptCount = 0;
  Time NextCheck = Never;
};

/// Declares the settings with their defaults.
std::vector<SettingDeclaration> relaySettingDeclarations();
RelaySettings readRelaySettings(const Settings &Values);
RetryBudgetLimits retryBudgetLimits(const Settings &Values);

} // namespace banyanpick
