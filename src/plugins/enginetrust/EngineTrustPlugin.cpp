#include "plugins/enginetrust/EngineTrustPlugin.h"

#include "base/EventNumbers.h"
#include "base/Milliseconds.h"
#include "kernel/PluginRegistry.h"

namespace banyanpick {

namespace {

/// Weight of one answer in a service's usual share of failures; averages over
/// some fifty answers.
constexpr double ServiceMemory = 0.02;

std::string_view name(TrustRecord::Verdict Verdict) {
  switch (Verdict) {
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
  const std::string_view Section = "engine_trust";
  this->Directory = &Context.services().get<EngineDirectory>();
  this->Limits.FirstEjection = Values.span(Section, "first_pause");
  this->Limits.MaxEjection = Values.span(Section, "longest_pause");
  this->Limits.SuspectShare = Values.fraction(Section, "suspect_share");
  this->Limits.Memory = Values.fraction(Section, "memory");
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
  for (const auto &[Id, Record] : this->Records)
    if (Record.isAvoided(Now))
      Result.push_back({Id, inMilliseconds(Now - Record.avoidSince()),
                        inMilliseconds(Record.avoidUntil() - Now)});
  return Result;
}

void EngineTrustPlugin::handle(const Event &Received, Time Now, Actions &Out) {
  const auto *Incoming = std::get_if<PeerMessageReceived>(&Received);
  const auto *Work =
      Incoming ? std::get_if<EngineWork>(&Incoming->Message.Body) : nullptr;
  if (!Work)
    return;
  // A peer's report may be right for one service and wrong for another, so each
  // service is judged separately.
  std::map<ServiceId, std::vector<EngineWork::Distrust>> ByService;
  for (const EngineWork::Distrust &Report : Work->Distrusted)
    if (const RegisteredEngine *Registered =
            this->Directory->find(Report.Engine))
      ByService[Registered->Record.Service].push_back(Report);
  for (const auto &[Service, Reported] : ByService) {
    const std::size_t Added =
        this->Peers.take(Incoming->Message.From, Reported,
                         this->Directory->ofService(Service).size(), Now);
    if (Added == 0)
      continue;
    Out.log(logEvent(events::PeerDistrustChanged)
                .with("from", Incoming->Message.From.Value)
                .with("service", Service.Value)
                .with("told", Reported.size())
                .with("new", Added)
                .with("held_back", this->Peers.size())
                .build());
  }
}

void EngineTrustPlugin::attemptBegan(const RelayAttempt &Attempt, Time,
                                     Actions &) {
  this->noteHealthy(Attempt);
}

void EngineTrustPlugin::noteHealthy(const RelayAttempt &Attempt) {
  // The last answers of an engine may arrive after its removal.
  if (this->Directory->find(Attempt.Engine))
    this->Peers.noteHealthy(Attempt.Engine, Attempt.SentAt);
}

void EngineTrustPlugin::attemptEnded(const RelayAttempt &Attempt,
                                     const RelayOutcome &Outcome, Time Now,
                                     Actions &Out) {
  if (const auto *NotRun = std::get_if<RelayNotRun>(&Outcome)) {
    const UpstreamId At =
        faultyEngine(*NotRun, Attempt.Engine, Attempt.Helpers);
    if (At != Attempt.Engine)
      this->judge(At, Attempt.Service, TrustRecord::Verdict::Silent, Now, Out);
    return;
  }
  const TrustRecord::Verdict Verdict = verdictOf(Outcome);
  if (Verdict == TrustRecord::Verdict::Healthy)
    this->noteHealthy(Attempt);
  this->judge(Attempt.Engine, Attempt.Service, Verdict, Now, Out);
}

void EngineTrustPlugin::judge(const UpstreamId &Engine,
                              const ServiceId &Service,
                              TrustRecord::Verdict Verdict, Time Now,
                              Actions &Out) {
  ServiceShare &Usual = this->Services[Service];
  if (Verdict == TrustRecord::Verdict::Healthy ||
      Verdict == TrustRecord::Verdict::Failing) {
    const double Failed = Verdict == TrustRecord::Verdict::Failing ? 1 : 0;
    Usual.Failures += ServiceMemory * (Failed - Usual.Failures);
  }
  TrustRecord &Record = this->Records[Engine];
  const Time Until = Record.avoidUntil();
  Record.take(Verdict, Usual.Failures, this->Limits, Now);
  if (Record.avoidUntil() != Until) {
    Out.count("engines_avoided", name(Verdict));
    Out.log(logEvent(events::EngineAvoided)
                .with("engine", Engine.Value)
                .with("after", name(Verdict))
                .with("in_a_row", Record.failuresInARow())
                .with("failure_share", Record.failureShare())
                .with("usual_share", Usual.Failures)
                .with("for_us", (Record.avoidUntil() - Now).count())
                .build());
  } else if (Until != Time{} && Verdict == TrustRecord::Verdict::Healthy) {
    Out.log(logEvent(events::EngineTrusted)
                .with("engine", Engine.Value)
                .with("failure_share", Record.failureShare())
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
  const std::string Section = "engine_trust";
  return {
      {Section, "first_pause", Span, "500ms",
       "How long an upstream is avoided after it failed; doubles with each "
       "further failure. Long enough for a restart to be seen.",
       10e3, 60e6},
      {Section, "longest_pause", Span, "4s",
       "The longest time an upstream is avoided before it gets a try again.",
       10e3, 600e6},
      {Section, "suspect_share", Fraction, "0.25",
       "An upstream whose failures exceed its service's usual share by so much "
       "is avoided.",
       0.01, 1},
      {Section, "memory", Fraction, "0.2",
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
