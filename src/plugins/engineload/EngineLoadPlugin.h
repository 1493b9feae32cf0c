/// \file
/// The plug-in that knows what runs on the upstreams and chooses among them.
#pragma once

#include "kernel/GatewayServices.h"
#include "kernel/Plugin.h"
#include "plugins/engineload/EngineLoad.h"
#include "plugins/engineload/EngineSlowdowns.h"
#include "plugins/engineload/GapBounds.h"
#include "plugins/engineload/PromptQueue.h"
#include "plugins/engineload/WorkReportSchedule.h"

namespace banyanpick {

/// Keeps a model of every engine from what all hosts say they sent, and gives
/// each request the engine that is predicted to begin its answer first.
class EngineLoadPlugin : public Plugin,
                         public EngineSelector,
                         public RelayObserver,
                         public EngineObserver,
                         public MembershipObserver,
                         public MemoryObserver {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override;

  EngineChoice choose(const EngineRequirements &Wanted, Time Now) override;
  void forget(const RequestId &Request, Time Now) override;

  void attemptSent(const RelayAttempt &Each, Time Now, Actions &Out) override;
  void attemptBegan(const RelayAttempt &Each, Time Now, Actions &Out) override;
  void attemptEnded(const RelayAttempt &Each, const RelayOutcome &Outcome,
                    Time Now, Actions &Out) override;
  void attemptCancelled(const RelayAttempt &Each, Time Now,
                        Actions &Out) override;
  void engineRemoved(const UpstreamId &Id, Time Now, Actions &Out) override;
  void memberChanged(const Member &Changed, Time Now, Actions &Out) override;

  void memoryRefused(const UpstreamId &Engine, Time Now) override;

  static std::vector<SettingDeclaration> settings();

private:
  /// What a peer told last.
  struct ToldBy {
    Time At{};
    std::vector<UpstreamId> Engines; ///< That have work of it; by name.
  };

  const EngineParameters *parametersOf(const ServiceId &Service) const;
  /// Engines that may get a request.
  struct Candidates {
    std::vector<EngineState> States;
    std::vector<EngineBlocked> Closed; ///< Of those that would, but take no
                                       ///< more now.
  };

  /// The engines of the share that may get the request; \p Avoided: also those
  /// that failed lately, or that asked other hosts for rest.
  Candidates candidates(const EngineRequirements &Wanted,
                        const EngineParameters *Model, const EngineShare &Share,
                        bool Avoided, Time Now);
  EngineState stateOf(const RegisteredEngine &Each,
                      const EngineParameters *Model, Time Now);
  EngineChoice chooseAmong(std::span<const EngineState> States,
                           const EngineRequirements &Wanted,
                           const EngineParameters *Model, Time Now);
  /// No engine takes one more now.
  EngineChoice chooseClosed(std::span<const EngineBlocked> Closed,
                            const EngineRequirements &Wanted);
  EngineChoice chooseShared(std::span<const EngineState> States,
                            const EngineRequirements &Wanted,
                            const PromptWork &Work,
                            const EngineParameters &Model, Time Now);
  /// The prompt is not to be read now: it waits, or its caller comes back.
  EngineChoice deferLong(const EngineRequirements &Wanted, double Scarcity,
                         Time Now);
  /// Where the prompt is read; it is kept by one engine if one has the memory.
  std::optional<PromptPlacement> placeLong(std::span<const EngineState> States,
                                           const PromptWork &Work,
                                           std::uint64_t EngineTokens,
                                           const PlacementTimes &Times) const;
  bool isShortOfMemory(const UpstreamId &Engine, Time Now) const;
  bool isItsTurn(std::span<const EngineState> States,
                 const EngineWork::Waiting &Own, Time Now) const;
  /// Whether one engine reads the prompt beside answers of the service.
  bool isShort(const EngineParameters &Model, const ServiceId &Service,
               double PrefillMs);
  static PromptWork workOf(const EngineRequirements &Wanted,
                           const EngineParameters *Model);
  static SelectedEngine chosen(std::span<const EngineState> States,
                               const PromptPlacement &Place,
                               const EngineParameters *Model, bool IsShort);
  /// Adds the try's work to its engine and its helpers.
  void add(const RelayAttempt &Each, Time Now);
  void remove(const RelayAttempt &Each, Time Now);
  void takePeerWork(const HostId &From, const EngineWork &Work, Time Now);
  void tell(Time Now, Actions &Out);
  /// \p Soon: peers should know at once.
  void noteChange(bool Soon, Time Now);
  bool isToldSoon(const RelayAttempt &Each) const;
  /// The peers that decide, too, and so must know what this host does.
  std::vector<HostId> listeners(Time Now) const;
  /// The peer has nothing on the engine any more.
  void forgetWork(const HostId &Peer, const UpstreamId &Engine, Time Now);
  void askReport(const UpstreamId &Engine, Time Now, Actions &Out) const;
  void takeReport(const EngineReport &Report, Time Now, Actions &Out);
  /// Asks the engine for its pace when the first token came late.
  void noteFirstToken(const RelayAttempt &Each, Time Now, Actions &Out);

  Services *Offered = nullptr;
  const MembershipView *Members = nullptr;
  const ActiveHostsView *Active = nullptr;
  const RouteView *Declared = nullptr;
  const EngineDirectory *Directory = nullptr;
  const EngineTrustView *Trust = nullptr;
  EngineQuota *Room = nullptr;
  const EngineGate *Gate = nullptr;
  Random *Numbers = nullptr;
  ZoneId OwnZone;
  double TellSoonMs = 0;
  double LateShare = 0;
  Duration LateBy{};
  double JitterMs = 0;
  double OtherZoneMs = 0;
  PlacementWeights Weights;
  PromptQueue Lane;
  GapBounds Pauses;
  std::map<UpstreamId, EngineLoad> Loads;
  EngineSlowdowns Slowdowns;
  /// Engines that refused to set memory aside, until when that counts.
  std::map<UpstreamId, Time> ShortOfMemory;
  WorkReportSchedule Tells;
  std::map<HostId, ToldBy> Told;
};

/// The settings of section [placement].
std::vector<SettingDeclaration> placementSettings();

/// The weights of section [placement].
PlacementWeights placementWeights(const Settings &Values);

} // namespace banyanpick
