#include "plugins/enginememory/EngineMemoryPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"
#include "kernel/ReportRequest.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// How long it may take until a release has reached all engines.
constexpr milliseconds ReleaseDelay(500);

/// A report of unused memory may overtake the last events of an answer that has
/// just ended.
constexpr seconds UnusedConfirmation(1);

/// Returns the limits by which memory is free again after \p MaxIdle even if
/// the release is lost and the memory lapses after \p Hold.
MemoryUseLimits useLimits(Duration MaxIdle, Duration Hold) {
  const Duration BeforeUse = MaxIdle - Hold - ReleaseDelay;
  return {std::max(BeforeUse, Duration(0)), UnusedConfirmation};
}

} // namespace

void EngineMemoryPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view Section = "engine_memory";
  this->Registry = &Context.services();
  this->Self = Context.self();
  this->Hold = Values.span(Section, "hold");
  this->RenewInterval = Values.span(Section, "renew_interval");
  this->AskInterval = Values.span(Section, "ask_interval");
  this->AcquireFor = Values.span(Section, "acquire_for");
  this->LateFor = Values.span(Section, "late_for");
  this->LateInterval = Values.span(Section, "late_interval");
  this->CheckInterval = Values.span(Section, "check_interval");
  this->UseLimits = useLimits(Values.span(Section, "idle_limit"), this->Hold);
  this->Directory = &Context.services().get<EngineDirectory>();
  this->Gate = &Context.services().get<EngineGate>();
  this->Quota = &Context.services().get<EngineQuota>();
  Context.services().provide<MemoryReserver>(*this);
  Context.services().list<EngineObserver>().add(*this);
  Context.services().list<RelayObserver>().add(*this);
}

void EngineMemoryPlugin::start(Time, Actions &) {}

void EngineMemoryPlugin::handle(const Event &Received, Time Now, Actions &Out) {
  match(
      Received,
      [&](const GatewayEvent &Change) {
        if (const auto *Answered = std::get_if<ReservationAnswered>(&Change))
          this->takeAnswer(*Answered, Now, Out);
        if (const auto *Reported = std::get_if<EngineReported>(&Change))
          this->takeReport(Reported->Report, Now);
      },
      [](const auto &) {});
  if (Now < this->nextWake())
    return;
  this->renew(Now, Out);
  this->releaseLate(Now, Out);
  this->checkUse(Now, Out);
}

Time EngineMemoryPlugin::nextWake() const {
  Time Result = Never;
  for (const auto &[Id, Reserved] : this->Reservations) {
    for (const Share &Part : Reserved.Shares)
      Result = std::min(Result, Part.NextRequestAt);
    if (Reserved.NextCheckAt != Never)
      Result = std::min(
          {Result, Reserved.NextCheckAt, Reserved.Use.idleAt(this->UseLimits)});
  }
  for (const LateRelease &Release : this->LateReleases)
    Result = std::min(Result, Release.NextAt);
  return Result;
}

void EngineMemoryPlugin::acquire(const RequestId &Id,
                                 std::span<const HelperEngine> Shares, Time Now,
                                 Actions &Out) {
  this->release(Id, Now, Out);
  Reservation &Reserved = this->Reservations[Id];
  Reserved.RequestedAt = Now;
  Reserved.Use = MemoryUse(Now);
  Reserved.Helpers.assign(Shares.begin(), Shares.end());
  for (HelperEngine &Helper : Reserved.Helpers) {
    if (Helper.Tokens == 0)
      continue;
    // The incarnation number makes the name unique across restarts.
    Helper.Reservation = "b" + std::to_string(this->Self.Life.Value) + "-" +
                         std::to_string(++this->NameCount);
    Reserved.Shares.push_back({Helper});
  }
  for (Share &Part : Reserved.Shares)
    this->request(Part, Now, Out);
}

void EngineMemoryPlugin::request(Share &Part, Time Now, Actions &Out) {
  Part.NextRequestAt = Now + (Part.Status == Stage::Held ? this->RenewInterval
                                                         : this->AskInterval);
  Part.AwaitsAnswer = true;
  Out.add(GatewayAction(ReserveMemory{Part.Target.Engine, Part.Target.At,
                                      Part.Target.Reservation,
                                      Part.Target.Tokens, this->Hold, false}));
}

void EngineMemoryPlugin::renewOrRetry(Share &Part, bool IsInUse, Time Now,
                                      Actions &Out) {
  // A held share would be lost without a renewal. No further memory is
  // requested where no requests may be sent, and none is kept on evacuated
  // engines for a prompt that was not sent. A cold engine takes no orders; the
  // memory lapses there.
  const auto Blocked = this->Gate->blocked(Part.Target.Engine, Now);
  const bool IsEvacuated =
      Blocked && Blocked->Reason == EngineBlocked::Why::Evacuated;
  const bool Renews = Part.Status == Stage::Held && (IsInUse || !IsEvacuated);
  const bool IsCold = this->Quota->isCold(Part.Target.Engine, Now);
  if (!IsCold && (Renews || !Blocked)) {
    this->request(Part, Now, Out);
    return;
  }
  Part.Status = Stage::Refused;
  Part.Unanswered = true;
  Part.NextRequestAt = Never;
}

void EngineMemoryPlugin::takeAnswer(const ReservationAnswered &Answer, Time Now,
                                    Actions &Out) {
  for (auto &[Id, Reserved] : this->Reservations) {
    const auto Found =
        std::ranges::find_if(Reserved.Shares, [&](const Share &Part) {
          return Part.Target.Reservation == Answer.Name;
        });
    if (Found == Reserved.Shares.end())
      continue;
    Found->AwaitsAnswer = false;
    switch (Answer.Result) {
    case ReservationResult::Held:
      Found->Status = Stage::Held;
      Found->NextRequestAt = Now + this->RenewInterval;
      break;
    case ReservationResult::Waiting:
      Found->Status = Stage::Waiting;
      break;
    case ReservationResult::Refused:
      Found->Status = Stage::Refused;
      for (MemoryObserver *Observer :
           this->Registry->list<MemoryObserver>().all())
        Observer->memoryRefused(Found->Target.Engine, Now);
      break;
    case ReservationResult::Unknown:
      Found->Unanswered = true;
      break;
    }
    const RequestId Request = Id;
    this->decide(Request, Reserved, Now, Out);
    return;
  }
}

void EngineMemoryPlugin::decide(const RequestId &Id, Reservation &Reserved,
                                Time Now, Actions &Out) {
  if (Reserved.Decided)
    return;
  const auto CountOf = [&](Stage Status) {
    return std::ranges::count(Reserved.Shares, Status, &Share::Status);
  };
  const bool All = CountOf(Stage::Held) ==
                   static_cast<std::ptrdiff_t>(Reserved.Shares.size());
  const bool Failed = CountOf(Stage::Refused) > 0 ||
                      Now >= Reserved.RequestedAt + this->AcquireFor;
  if (!All && !Failed)
    return;
  Reserved.Decided = true;
  Reserved.NextCheckAt = Now + this->CheckInterval;
  Out.log(logEvent(events::MemoryReserved)
              .with("request", Id.Value)
              .with("engines", Reserved.Shares.size())
              .with("tokens_each", Reserved.Shares.front().Target.Tokens)
              .with("had", All ? "true" : "false")
              .with("after_us", (Now - Reserved.RequestedAt).count())
              .build());
  Out.count("memory_reservations", All ? "held" : "refused");
  const std::vector<HelperEngine> Shares =
      All ? Reserved.Helpers : std::vector<HelperEngine>();
  if (!All)
    this->release(Id, Now, Out);
  for (MemoryObserver *Observer : this->Registry->list<MemoryObserver>().all())
    Observer->memoryDecided(Id, Shares, Now, Out);
}

void EngineMemoryPlugin::release(const RequestId &Id, Time Now, Actions &Out) {
  const auto Found = this->Reservations.find(Id);
  if (Found == this->Reservations.end())
    return;
  const Reservation &Reserved = Found->second;
  this->releaseAll(Reserved, Now, Out);
  Out.log(logEvent(events::MemoryReleased)
              .with("request", Id.Value)
              .with("held_us", (Now - Reserved.RequestedAt).count())
              .with("used", Reserved.Use.wasUsed() ? "true" : "false")
              .build());
  this->Reservations.erase(Found);
}

void EngineMemoryPlugin::engineRestarted(const UpstreamId &Id, Time Now,
                                         Actions &Out) {
  std::erase_if(this->LateReleases, [&](const LateRelease &Release) {
    return Release.Target.Engine == Id;
  });
  std::vector<RequestId> Affected;
  for (auto &[Request, Reserved] : this->Reservations)
    for (Share &Part : Reserved.Shares) {
      if (Part.Target.Engine != Id)
        continue;
      Part.Status = Stage::Refused;
      Part.Unanswered = false;
      Part.AwaitsAnswer = false;
      Part.NextRequestAt = Never;
      Affected.push_back(Request);
    }
  for (const RequestId &Request : Affected) {
    const auto Found = this->Reservations.find(Request);
    if (Found != this->Reservations.end())
      this->decide(Request, Found->second, Now, Out);
  }
}

void EngineMemoryPlugin::releaseAll(const Reservation &Reserved, Time Now,
                                    Actions &Out) {
  for (const Share &Part : Reserved.Shares) {
    const bool IsCold = this->Quota->isCold(Part.Target.Engine, Now);
    if (!IsCold && (Part.Status != Stage::Refused || Part.Unanswered))
      Out.add(GatewayAction(ReleaseMemory{Part.Target.Engine, Part.Target.At,
                                          Part.Target.Reservation}));
    if (Part.mayBeReservedLate())
      this->LateReleases.push_back(
          {Part.Target, Now + this->LateInterval, Now + this->LateFor});
  }
}

void EngineMemoryPlugin::renew(Time Now, Actions &Out) {
  std::vector<RequestId> Ids;
  for (const auto &[Id, Reserved] : this->Reservations)
    Ids.push_back(Id);
  for (const RequestId &Id : Ids) {
    const auto Found = this->Reservations.find(Id);
    if (Found == this->Reservations.end())
      continue;
    for (Share &Part : Found->second.Shares)
      if (Now >= Part.NextRequestAt)
        this->renewOrRetry(Part, Found->second.Decided, Now, Out);
    this->decide(Id, Found->second, Now, Out);
  }
}

void EngineMemoryPlugin::releaseLate(Time Now, Actions &Out) {
  for (LateRelease &Release : this->LateReleases) {
    if (Now < Release.NextAt)
      continue;
    Release.NextAt = Now + this->LateInterval;
    if (this->Quota->isCold(Release.Target.Engine, Now))
      continue;
    Out.add(GatewayAction(ReleaseMemory{
        Release.Target.Engine, Release.Target.At, Release.Target.Reservation}));
  }
  std::erase_if(this->LateReleases, [&](const LateRelease &Release) {
    return Now >= Release.Until;
  });
}

void EngineMemoryPlugin::attemptBegan(const RelayAttempt &Attempt, Time Now,
                                      Actions &) {
  const auto Found = this->Reservations.find(Attempt.Request);
  if (Found != this->Reservations.end())
    Found->second.Use.note(true, Now);
}

void EngineMemoryPlugin::takeReport(const EngineReport &Report, Time Now) {
  for (auto &[Id, Reserved] : this->Reservations)
    for (const Share &Part : Reserved.Shares) {
      if (Part.Target.Engine != Report.Engine)
        continue;
      const auto Found =
          std::ranges::find(Report.Reservations, Part.Target.Reservation,
                            &EngineReservation::Name);
      // Shares are filled in turn, so only the first one shows that the request
      // uses none.
      const bool IsFirst = &Part == &Reserved.Shares.front();
      if (Found != Report.Reservations.end() && (Found->Used || IsFirst))
        Reserved.Use.note(Found->Used, Now);
    }
}

void EngineMemoryPlugin::checkUse(Time Now, Actions &Out) {
  std::vector<RequestId> Idle;
  for (auto &[Id, Reserved] : this->Reservations) {
    if (Reserved.NextCheckAt == Never)
      continue;
    if (Reserved.Use.isIdle(this->UseLimits, Now)) {
      Idle.push_back(Id);
    } else if (Now >= Reserved.NextCheckAt) {
      Reserved.NextCheckAt = Now + this->CheckInterval;
      this->askAboutUse(Reserved, Now, Out);
    }
  }
  for (const RequestId &Id : Idle)
    this->notifyIdle(Id, Now, Out);
}

void EngineMemoryPlugin::askAboutUse(const Reservation &Reserved, Time Now,
                                     Actions &Out) const {
  for (const Share &Part : Reserved.Shares) {
    const UpstreamId &Engine = Part.Target.Engine;
    if (this->Quota->isCold(Engine, Now) || this->Quota->isLimited(Engine) ||
        this->Gate->blocked(Engine, Now))
      continue;
    requestReport(Engine, *this->Directory, *this->Gate, *this->Quota, Now,
                  Out);
    return;
  }
}

void EngineMemoryPlugin::notifyIdle(const RequestId &Id, Time Now,
                                    Actions &Out) {
  const auto Found = this->Reservations.find(Id);
  if (Found == this->Reservations.end())
    return;
  Out.log(logEvent(events::MemoryIdle)
              .with("request", Id.Value)
              .with("engines", Found->second.Shares.size())
              .with("held_us", (Now - Found->second.RequestedAt).count())
              .with("used", Found->second.Use.wasUsed() ? "true" : "false")
              .build());
  Out.count("memory_idle");
  this->release(Id, Now, Out);
  for (MemoryObserver *Observer : this->Registry->list<MemoryObserver>().all())
    Observer->memoryIdle(Id, Now, Out);
}

std::vector<SettingDeclaration> EngineMemoryPlugin::settings() {
  constexpr auto Span = SettingKind::Span;
  const std::string Section = "engine_memory";
  return {
      {Section, "hold", Span, "3s",
       "How long an engine keeps memory set aside without a renewal; under the "
       "four seconds in which unused memory must be free again.",
       100e3, 60e6},
      {Section, "renew_interval", Span, "700ms",
       "How often memory in use is renewed: three renewals in a row may be "
       "lost.",
       10e3, 60e6},
      {Section, "ask_interval", Span, "250ms",
       "How soon an engine that did not grant memory yet is asked again.", 10e3,
       60e6},
      {Section, "acquire_for", Span, "1200ms",
       "After so long without all memory that a prompt needs, all is let go.",
       10e3, 60e6},
      {Section, "late_for", Span, "14s",
       "Orders without an answer may be carried out so much later; memory is "
       "let go again until then.",
       0, 600e6},
      {Section, "late_interval", Span, "1s",
       "How often memory is let go again after an order without an answer.",
       10e3, 60e6},
      {Section, "check_interval", Span, "2s",
       "How often an engine is asked whether the request uses its memory.",
       10e3, 60e6},
      {Section, "idle_limit", Span, "9s",
       "No memory stays set aside for so long without a request that uses it. "
       "It must exceed hold by a second or more.",
       100e3, 600e6},
  };
}

namespace {

const PluginRegistration
    Registration({"engine_memory",
                  {"engine_signals", "engines"},
                  EngineMemoryPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<EngineMemoryPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
