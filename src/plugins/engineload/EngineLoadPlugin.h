/// \file
/// The plug-in that tracks the load of the engines and selects among them.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/engineload/AdmissionPlan.h"
#include "plugins/engineload/EngineLoad.h"
#include "plugins/engineload/EngineSlowdowns.h"
#include "plugins/engineload/GapBounds.h"
#include "plugins/engineload/IdleConnections.h"
#include "plugins/engineload/LostAnswers.h"
#include "plugins/engineload/PromptQueue.h"
#include "plugins/engineload/WarmUp.h"
#include "plugins/engineload/WorkReportSchedule.h"
#include "plugins/engineload/ZoneFront.h"

namespace banyanpick {

/// Models the load of every engine from the reports of all hosts, and selects
/// for each request the engine with the earliest predicted first token.
class EngineLoadPlugin : public Plugin,
                         public EngineSelector,
                         public RelayObserver,
                         public EngineObserver,
                         public MembershipObserver,
                         public MemoryObserver {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Received, Time Now, Actions &Out) override;
  Time nextWake() const override;

  EngineChoice choose(const EngineRequirements &Requirements,
                      Time Now) override;
  void forget(const RequestId &Request, Time Now) override;

  void attemptSent(const RelayAttempt &Attempt, Time Now,
                   Actions &Out) override;
  void attemptBegan(const RelayAttempt &Attempt, Time Now,
                    Actions &Out) override;
  void attemptEnded(const RelayAttempt &Attempt, const RelayOutcome &Outcome,
                    Time Now, Actions &Out) override;
  void attemptCancelled(const RelayAttempt &Attempt, Time Now,
                        Actions &Out) override;
  void engineChanged(const RegisteredEngine &Changed, Time Now,
                     Actions &Out) override;
  void engineRemoved(const UpstreamId &Id, Time Now, Actions &Out) override;
  void engineRestarted(const UpstreamId &Id, Time Now, Actions &Out) override;
  void memberChanged(const Member &Changed, Time Now, Actions &Out) override;

  void memoryRefused(const UpstreamId &Engine, Time Now) override;

  static std::vector<SettingDeclaration> settings();

private:
  /// A peer's last report.
  struct PeerReport {
    Time ReceivedAt{};
    /// Engines with work of the peer, sorted by name.
    std::vector<UpstreamId> Engines;
  };

  const EngineParameters *parametersOf(const ServiceId &Service) const;
  /// Engines that are eligible for a request.
  struct Candidates {
    std::vector<EngineState> States;
    /// Eligible engines that accept no more requests now.
    std::vector<EngineBlocked> Closed;
  };

  /// Returns the eligible engines of the share. With \p IncludeAvoided, engines
  /// that failed recently, or that asked other hosts for a backoff, are
  /// included.
  Candidates candidates(const EngineRequirements &Requirements,
                        const EngineParameters *Model, const EngineShare &Share,
                        bool IncludeAvoided, Time Now);
  EngineState stateOf(const RegisteredEngine &Registered,
                      const EngineLoad &Load, const EngineParameters *Model,
                      Time Now);
  EngineChoice chooseAmong(std::span<const EngineState> States,
                           const EngineRequirements &Requirements,
                           const EngineParameters *Model, Time Now);
  /// Whether the engines of the service are all outside the home regions.
  bool isWithoutHome(const EngineRequirements &Requirements) const;
  /// Called when no eligible engine accepts another request.
  EngineChoice chooseClosed(std::span<const EngineBlocked> Closed,
                            const EngineRequirements &Requirements);
  EngineChoice chooseShared(std::span<const EngineState> States,
                            const EngineRequirements &Requirements,
                            const PromptWork &Work,
                            const EngineParameters &Model, Time Now);
  /// Defers a short prompt while no engine has memory for it.
  EngineChoice deferShort(const EngineRequirements &Requirements);
  /// Like chooseShared(), where the setting asks for a plan.
  EngineChoice choosePlanned(std::span<const EngineState> States,
                             const EngineRequirements &Requirements,
                             const PromptWork &Work,
                             const EngineParameters &Model, Time Now);
  /// Defers a long prompt: it waits here, or its caller retries later.
  EngineChoice deferLong(const EngineRequirements &Requirements,
                         double Scarcity, Time Now);
  /// Returns the placement of a long prompt. One engine holds the whole prompt
  /// if one has enough memory.
  std::optional<PromptPlacement> placeLong(std::span<const EngineState> States,
                                           const PromptWork &Work,
                                           std::uint64_t EngineTokens,
                                           const PlacementTimes &Times) const;
  bool isShortOfMemory(const UpstreamId &Engine, Time Now) const;
  bool isFirstInQueue(std::span<const EngineState> States,
                      const EngineWork::QueuedPrompt &Own, Time Now) const;
  /// Returns whether one engine can prefill the prompt without exceeding the
  /// gap bounds of the service's running answers.
  bool isShort(const EngineParameters &Model, const ServiceId &Service,
               double PrefillMs);
  static PromptWork workOf(const EngineRequirements &Requirements,
                           const EngineParameters *Model);
  static SelectedEngine toChosen(std::span<const EngineState> States,
                                 const PromptPlacement &Place,
                                 const EngineParameters *Model, bool IsShort);
  /// Adds the attempt's work to its engine and its helpers.
  void add(const RelayAttempt &Attempt, Time Now);
  void remove(const RelayAttempt &Attempt, Time Now);
  /// Returns the number of the engine's zone; zero is the host's own.
  std::size_t zoneNumber(const ZoneId &Zone);
  /// Returns the number of engines on which short prompts are gathered.
  std::size_t frontOf(std::span<const EngineState> States, std::uint32_t Slots,
                      Time Now);
  void logFront(Actions &Out);
  /// Called when the process of an engine ended: its open connections and the
  /// work of lost answers ended with it.
  void forgetProcess(const UpstreamId &Id, Time Now);
  void takePeerWork(const HostId &From, const EngineWork &Work, Time Now);
  void reportWork(Time Now, Actions &Out);
  /// \p Soon: the change is reported without the rate limit for short work.
  void noteChange(bool Soon, Time Now);
  bool isReportedSoon(const RelayAttempt &Attempt) const;
  /// Returns the peers that select engines and therefore need this host's
  /// reports.
  std::vector<HostId> reportReceivers(Time Now) const;
  /// Drops the peer's work on the engine.
  void forgetWork(const HostId &Peer, const UpstreamId &Engine, Time Now);
  void askReport(const UpstreamId &Engine, Time Now, Actions &Out) const;
  void takeReport(const EngineReport &Report, Time Now, Actions &Out);
  /// Requests a report from the engine if the first token came late.
  void noteFirstToken(const RelayAttempt &Attempt, Time Now, Actions &Out);

  // The warm-up, in EngineLoadWarmUp.cpp.
  void beginWarmUp(ViewLoss Reason, Time Now, Actions &Out);
  /// Begins, continues or ends the warm-up.
  void updateView(Time Now, Actions &Out);
  /// Returns the model engines about which this host decides.
  std::vector<UpstreamId> sharedEngines() const;
  /// Returns the load that all hosts are known to have on the engine.
  UnclaimedLoad claimedOn(const UpstreamId &Engine, Time Now) const;
  void takeOwnReport(const EngineReport &Report, Time Now);
  void takePeerView(const HostId &From, const EngineWork &Work, Time Now);
  /// Adds the load that no host claims, and that of unknown engines.
  void assumeLoads(std::span<EngineState> States, const EngineParameters &Model,
                   Time Now);
  /// Places a short prompt while the view is incomplete.
  PromptPlacement placeSpread(std::span<const EngineState> States,
                              std::uint32_t Slots, const PromptWork &Work);
  /// Returns the indices of the engines to which slow start allows another
  /// request.
  std::vector<std::size_t> openEngines(std::span<const EngineState> States,
                                       bool WithFreeSlot) const;
  /// Adds the hosts that need this host's reports during a warm-up.
  void addFirstReceivers(std::vector<HostId> &Receivers, Time Now) const;

  Services *Registry = nullptr;
  const MembershipView *Members = nullptr;
  const ActiveHostsView *Active = nullptr;
  const RouteView *Declared = nullptr;
  const EngineDirectory *Directory = nullptr;
  const EngineTrustView *Trust = nullptr;
  EngineQuota *Quota = nullptr;
  const EngineGate *Gate = nullptr;
  const RegionView *Regions = nullptr;
  Random *RandomNumbers = nullptr;
  ZoneId OwnZone;
  double ReportSoonMs = 0;
  double LateShare = 0;
  Duration LateBy{};
  double JitterMs = 0;
  double OtherZoneMs = 0;
  double NewConnectionMs = 0;
  IdleConnections Connections;
  std::vector<ZoneId> OtherZones; ///< Numbered from 1 in EngineState::Zone.
  ZoneFront LastFront;            ///< Of the last short prompt, by zone.
  ZoneFront LoggedFront;          ///< When logFront() was last called.
  LostAnswers Lost;
  PlacementWeights Weights;
  AdmissionOrder Admission = AdmissionOrder::Queue;
  PromptQueue Queue;
  GapBounds Gaps;
  std::map<UpstreamId, EngineLoad> Loads;
  EngineSlowdowns Slowdowns;
  /// Engines that refused a memory reservation, and until when the refusal
  /// counts.
  std::map<UpstreamId, Time> ShortOfMemory;
  WarmUp View;
  std::vector<HostId> KnownSharers;
  std::map<UpstreamId, ServiceId> ServiceOf;
  bool AreEnginesStale = true;
  WorkReportSchedule Reports;
  std::map<HostId, PeerReport> PeerReports;
};

/// Returns the settings of section [placement].
std::vector<SettingDeclaration> placementSettings();

/// Returns the weights of section [placement].
PlacementWeights placementWeights(const Settings &Values);

} // namespace banyanpick
