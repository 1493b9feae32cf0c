#include "plugins/enginetrust/EngineTrustPlugin.h"

#include "base/EventNumbers.h"
#include "base/Milliseconds.h"
#include "kernel/PluginRegistry.h"

namespace banyanpick {

namespace {

/// Weight of one answer in a service's usual share of failures: the memory of
/// some fifty answers.
constexpr double ServiceMemory = 0.02;

std::string_view name(TrustRecord::Verdict What) {
  switch (What) {
  case TrustRecord::Verdict::Healthy:
    return "sound";
  case TrustRecord::Verdict::Failing:
    return "failing";
  case TrustRecord::Verdict::Broken:
    return "broken";
  case TrustRecord::Verdict::Refused:
    return "refused";
  case TrustRecord::Verdict::Silent:
    return "silent";
  case TrustRecord::Verdict::Neutral:
    return "neutral";
  }
  return "unknown";
}

} // namespace

void EngineTrustPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view In = "engine_trust";
  this->Directory = &Context.services().get<EngineDirectory>();
  this->Limits.FirstEjection = Values.span(In, "first_pause");
  this->Limits.MaxEjection = Values.span(In, "longest_pause");
  this->Limits.SuspectShare = Values.fraction(In, "suspect_share");
  this->Limits.Memory = Values.fraction(In, "memory");
  Context.services().provide<EngineTrustView>(*this);
  Context.services().list<RelayObserver>().add(*this);
  Context.services().list<EngineObserver>().add(*this);
}

bool EngineTrustPlugin::isAvoided(const UpstreamId &Id, Time Now) const {
  const auto Found = this->Records.find(Id);
  const bool Own = Found != this->Records.end() && Found->second.isAvoided(Now);
  return Own || this->Peers.isHeldBack(Id, Now);
}

std::vector<EngineWork::Distrust>
EngineTrustPlugin::distrusted(Time Now) const {
  std::vector<EngineWork::Distrust> Result;
  for (const auto &[Id, Of] : this->Records)
    if (Of.isAvoided(Now))
      Result.push_back({Id, inMilliseconds(Now - Of.avoidSince()),
                        inMilliseconds(Of.avoidUntil() - Now)});
  return Result;
}

void EngineTrustPlugin::handle(const Event &What, Time Now, Actions &Out) {
  const auto *Is = std::get_if<PeerMessageReceived>(&What);
  const auto *Work = Is ? std::get_if<EngineWork>(&Is->Message.Body) : nullptr;
  if (!Work)
    return;
  // A peer may be right of one service and at fault for another.
  std::map<ServiceId, std::vector<EngineWork::Distrust>> ByService;
  for (const EngineWork::Distrust &Each : Work->Distrusted)
    if (const RegisteredEngine *Known = this->Directory->find(Each.Engine))
      ByService[Known->Record.Service].push_back(Each);
  for (const auto &[Service, Told] : ByService) {
    const std::size_t New =
        this->Peers.take(Is->Message.From, Told,
                         this->Directory->ofService(Service).size(), Now);
    if (New == 0)
      continue;
    Out.log(logEvent(events::PeerDistrustChanged)
                .with("from", Is->Message.From.Value)
                .with("service", Service.Value)
                .with("told", Told.size())
                .with("new", New)
                .with("held_back", this->Peers.size())
                .build());
  }
}

void EngineTrustPlugin::attemptBegan(const RelayAttempt &Each, Time,
                                     Actions &) {
  this->noteHealthy(Each);
}

void EngineTrustPlugin::noteHealthy(const RelayAttempt &Each) {
  // The last answers of an engine may come after it is gone.
  if (this->Directory->find(Each.Engine))
    this->Peers.noteHealthy(Each.Engine, Each.SentAt);
}

void EngineTrustPlugin::attemptEnded(const RelayAttempt &Each,
                                     const RelayOutcome &Outcome, Time Now,
                                     Actions &Out) {
  if (const auto *NotRun = std::get_if<RelayNotRun>(&Outcome)) {
    const UpstreamId At = faultyEngine(*NotRun, Each.Engine, Each.Helpers);
    if (At != Each.Engine)
      this->judge(At, Each.Service, TrustRecord::Verdict::Silent, Now, Out);
    return;
  }
  const TrustRecord::Verdict What = verdictOf(Outcome);
  if (What == TrustRecord::Verdict::Healthy)
    this->noteHealthy(Each);
  this->judge(Each.Engine, Each.Service, What, Now, Out);
}

void EngineTrustPlugin::judge(const UpstreamId &Engine,
                              const ServiceId &Service,
                              TrustRecord::Verdict What, Time Now,
                              Actions &Out) {
  ServiceShare &Usual = this->Services[Service];
  if (What == TrustRecord::Verdict::Healthy ||
      What == TrustRecord::Verdict::Failing) {
    const double Failed = What == TrustRecord::Verdict::Failing ? 1 : 0;
    Usual.Failures += ServiceMemory * (Failed - Usual.Failures);
  }
  TrustRecord &Of = this->Records[Engine];
  const Time Until = Of.avoidUntil();
  Of.take(What, Usual.Failures, this->Limits, Now);
  if (Of.avoidUntil() != Until) {
    Out.count("engines_avoided", name(What));
    Out.log(logEvent(events::EngineAvoided)
                .with("engine", Engine.Value)
                .with("after", name(What))
                .with("in_a_row", Of.failuresInARow())
                .with("failure_share", Of.failureShare())
                .with("usual_share", Usual.Failures)
                .with("for_us", (Of.avoidUntil() - Now).count())
                .build());
  } else if (Until != Time{} && What == TrustRecord::Verdict::Healthy) {
    Out.log(logEvent(events::EngineTrusted)
                .with("engine", Engine.Value)
                .with("failure_share", Of.failureShare())
                .build());
    this->Records.erase(Engine);
  }
}

void EngineTrustPlugin::engineRemoved(const UpstreamId &Id, Time, Actions &) {
  this->Records.erase(Id);
  this->Peers.forget(Id);
}

std::vector<SettingDeclaration> EngineTrustPlugin::settings() {
  constexpr auto Span = SettingKind::Span;
  constexpr auto Fraction = SettingKind::Fraction;
  const std::string In = "engine_trust";
  return {
      {In, "first_pause", Span, "500ms",
       "How long an upstream is avoided after it failed; doubles with each "
       "further failure. Long enough for a restart to be seen.",
       10e3, 60e6},
      {In, "longest_pause", Span, "4s",
       "The longest time an upstream is avoided before it gets a try again.",
       10e3, 600e6},
      {In, "suspect_share", Fraction, "0.25",
       "An upstream whose failures exceed its service's usual share by so much "
       "is avoided.",
       0.01, 1},
      {In, "memory", Fraction, "0.2",
       "Weight of the newest answer in an upstream's share of failures.", 0.01,
       1},
  };
}

namespace {

const PluginRegistration
    Registration({"engine_trust",
                  {"engines"},
                  EngineTrustPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<EngineTrustPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
