#include "plugins/enginereach/EngineReachPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"
#include "kernel/ReportRequest.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Engines that are asked for a report at once. Two failures are needed to
/// detect a partition.
constexpr std::size_t EnginesPerProbe = 2;

/// The same when a partition is first suspected. If engines have died instead,
/// one of these probably lives, and its report ends the suspicion at once.
constexpr std::size_t EnginesPerFirstProbe = 8;

/// While requests wait without an answer but nothing has failed, engines are
/// asked more seldom, because a long prefill is not unusual.
constexpr int SilentIntervalFactor = 4;

/// Whether the outcome shows that the connection to the engine failed.
bool isLinkFailure(const RelayOutcome &Outcome) {
  return match(
      Outcome,
      [](const RelayNeverSent &Result) {
        return Result.Reason == RelayNeverSent::Why::Refused ||
               Result.Reason == RelayNeverSent::Why::NotConnected;
      },
      [](const RelayBroken &Result) {
        return Result.Reason == RelayBroken::Why::Reset;
      },
      [](const auto &) { return false; });
}

} // namespace

void EngineReachPlugin::initialize(PluginContext &Context) {
  const std::string_view Section = "engine_reach";
  this->Directory = &Context.services().get<EngineDirectory>();
  this->Gate = &Context.services().get<EngineGate>();
  this->Quota = &Context.services().get<EngineQuota>();
  this->ProbeInterval = Context.settings().span(Section, "probe_interval");
  this->SilenceLimit = Context.settings().span(Section, "silence_limit");
  Context.services().provide<EngineReachView>(*this);
  Context.services().list<RelayObserver>().add(*this);
}

void EngineReachPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  if (const auto *Gateway = std::get_if<GatewayEvent>(&Incoming))
    this->takeReport(*Gateway, Now);
  if (Now >= this->NextProbe)
    this->probe(Now, Out);
}

bool EngineReachPlugin::isCutOff(const ServiceId &Service, Time Now) const {
  const auto Found = this->Services.find(Service);
  return Found != this->Services.end() && Found->second.Reach.isCutOff(Now);
}

bool EngineReachPlugin::isCutOff(Time Now) const {
  return std::ranges::any_of(this->Services, [&](const auto &Entry) {
    return Entry.second.Reach.isCutOff(Now);
  });
}

void EngineReachPlugin::engineDied(const UpstreamId &Engine) {
  for (auto &[Id, State] : this->Services)
    State.Reach.forget(Engine);
}

void EngineReachPlugin::takeReport(const GatewayEvent &Answer, Time Now) {
  if (const auto *Reported = std::get_if<EngineReported>(&Answer)) {
    if (const auto *Engine = this->Directory->find(Reported->Report.Engine))
      this->noteAnswer(this->Services[Engine->Record.Service],
                       Reported->Report.Engine, Now);
    return;
  }
  const auto *Failed = std::get_if<EngineReportFailed>(&Answer);
  const auto *Engine = Failed ? this->Directory->find(Failed->Engine) : nullptr;
  if (!Engine)
    return;
  Service &State = this->Services[Engine->Record.Service];
  if (Failed->Answered) {
    this->noteAnswer(State, Failed->Engine, Now);
    return;
  }
  State.Reach.noteFailure(Failed->Engine, Now);
  this->NextProbe = Now;
}

void EngineReachPlugin::noteAnswer(Service &State, const UpstreamId &Engine,
                                   Time Now) {
  State.Reach.noteAnswer(Engine, Now);
  if (State.WasCutOff)
    this->NextProbe = Now;
}

void EngineReachPlugin::attemptSent(const RelayAttempt &Attempt, Time Now,
                                    Actions &) {
  ServiceReach &Reach = this->Services[Attempt.Service].Reach;
  Reach.noteSent(Now + Attempt.Predicted);
  this->NextProbe =
      std::min(this->NextProbe, Reach.silentSince() + this->SilenceLimit);
}

void EngineReachPlugin::attemptBegan(const RelayAttempt &Attempt, Time Now,
                                     Actions &) {
  this->noteAnswer(this->Services[Attempt.Service], Attempt.Engine, Now);
}

void EngineReachPlugin::attemptEnded(const RelayAttempt &Attempt,
                                     const RelayOutcome &Outcome, Time Now,
                                     Actions &) {
  Service &State = this->Services[Attempt.Service];
  State.Reach.noteEnded();
  if (isAnswer(Outcome))
    this->noteAnswer(State, Attempt.Engine, Now);
  if (!isLinkFailure(Outcome))
    return;
  State.Reach.noteFailure(Attempt.Engine, Now);
  this->NextProbe = Now;
}

void EngineReachPlugin::attemptCancelled(const RelayAttempt &Attempt, Time,
                                         Actions &) {
  this->Services[Attempt.Service].Reach.noteEnded();
}

Time EngineReachPlugin::probeDue(const Service &State, Time Now) const {
  if (State.Reach.isCutOff(Now))
    return State.ProbedAt + this->ProbeInterval;
  if (State.Reach.silentSince() == Never)
    return Never;
  return std::max(State.Reach.silentSince() + this->SilenceLimit,
                  State.ProbedAt + this->ProbeInterval * SilentIntervalFactor);
}

void EngineReachPlugin::probe(Time Now, Actions &Out) {
  this->NextProbe = Never;
  bool HasChanged = false;
  for (auto &[Id, State] : this->Services) {
    const bool Changed = this->updateState(Id, State, Now, Out);
    HasChanged |= Changed;
    // The state may change with every answer while some engines are dead.
    const bool MayAsk = Now >= State.ProbedAt + this->ProbeInterval;
    if (Changed && State.WasCutOff && MayAsk)
      this->askForReports(Id, State, EnginesPerFirstProbe, Now, Out);
    else if (Now >= this->probeDue(State, Now))
      this->askForReports(Id, State, EnginesPerProbe, Now, Out);
    this->NextProbe = std::min(this->NextProbe, this->probeDue(State, Now));
  }
  // Membership, which comes before this plug-in, tells peers at the next event.
  if (HasChanged)
    this->NextProbe = Now;
}

void EngineReachPlugin::askForReports(const ServiceId &Id, Service &State,
                                      std::size_t MaxCount, Time Now,
                                      Actions &Out) const {
  State.ProbedAt = Now;
  const auto Engines = this->Directory->ofService(Id);
  const std::size_t Count = std::min(MaxCount, Engines.size());
  for (std::size_t Asked = 0; Asked < Count; ++Asked) {
    const auto *Engine = Engines[State.NextEngine++ % Engines.size()];
    requestReport(Engine->Record.Id, *this->Directory, *this->Gate,
                  *this->Quota, Now, Out);
  }
}

bool EngineReachPlugin::updateState(const ServiceId &Id, Service &State,
                                    Time Now, Actions &Out) const {
  const bool IsCutOff = State.Reach.isCutOff(Now);
  if (IsCutOff == State.WasCutOff)
    return false;
  State.WasCutOff = IsCutOff;
  Out.count("engine_reach_changed", IsCutOff ? "lost" : "restored");
  Out.log(
      logEvent(IsCutOff ? events::EnginesOutOfReach : events::EnginesInReach)
          .with("service", Id.Value)
          .with("engines", this->Directory->ofService(Id).size())
          .build());
  return true;
}

std::vector<SettingDeclaration> EngineReachPlugin::settings() {
  const std::string Section = "engine_reach";
  return {{Section, "probe_interval", SettingKind::Span, "250ms",
           "How often engines of a service that is out of reach are asked for "
           "reports; the end of a partition is noticed so soon.",
           10e3, 60e6},
          {Section, "silence_limit", SettingKind::Span, "1s",
           "If no engine of a service answers for so long after a first event "
           "was due, some are asked for reports.",
           10e3, 60e6}};
}

namespace {

const PluginRegistration
    Registration({"engine_reach",
                  {"engine_limits", "engine_signals", "engines"},
                  EngineReachPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<EngineReachPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
