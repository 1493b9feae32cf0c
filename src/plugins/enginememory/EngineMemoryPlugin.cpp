#include "plugins/enginememory/EngineMemoryPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

void EngineMemoryPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view In = "engine_memory";
  this->Offered = &Context.services();
  this->Own = Context.self();
  this->Hold = Values.span(In, "hold");
  this->RenewInterval = Values.span(In, "renew_interval");
  this->AskInterval = Values.span(In, "ask_interval");
  this->AcquireFor = Values.span(In, "acquire_for");
  this->LateFor = Values.span(In, "late_for");
  this->LateInterval = Values.span(In, "late_interval");
  this->Gate = &Context.services().get<EngineGate>();
  Context.services().provide<MemoryReserver>(*this);
  Context.services().list<EngineObserver>().add(*this);
}

void EngineMemoryPlugin::start(Time, Actions &) {}

void EngineMemoryPlugin::handle(const Event &What, Time Now, Actions &Out) {
  match(
      What,
      [&](const GatewayEvent &Is) {
        if (const auto *Answered = std::get_if<ReservationAnswered>(&Is))
          this->take(*Answered, Now, Out);
      },
      [](const auto &) {});
  if (Now < this->nextWake())
    return;
  this->renew(Now, Out);
  this->releaseLate(Now, Out);
}

Time EngineMemoryPlugin::nextWake() const {
  Time Result = Never;
  for (const auto &[Id, Of] : this->Reservations)
    for (const Share &Each : Of.Shares)
      Result = std::min(Result, Each.AskAgainAt);
  for (const LateRelease &Each : this->Late)
    Result = std::min(Result, Each.NextAt);
  return Result;
}

void EngineMemoryPlugin::acquire(const RequestId &Id,
                                 std::span<const HelperEngine> Shares, Time Now,
                                 Actions &Out) {
  this->release(Id, Now, Out);
  Reservation &Of = this->Reservations[Id];
  Of.AskedAt = Now;
  Of.All.assign(Shares.begin(), Shares.end());
  for (HelperEngine &Each : Of.All) {
    if (Each.Tokens == 0)
      continue;
    // A life's number makes it unlike any name of an earlier life.
    Each.Reservation = "b" + std::to_string(this->Own.Life.Value) + "-" +
                       std::to_string(++this->Names);
    Of.Shares.push_back({Each, Stage::Asked, false, Now});
  }
  for (Share &Each : Of.Shares)
    this->ask(Each, Now, Out);
}

void EngineMemoryPlugin::ask(Share &Each, Time Now, Actions &Out) {
  Each.AskAgainAt =
      Now + (Each.Is == Stage::Held ? this->RenewInterval : this->AskInterval);
  Out.add(GatewayAction(ReserveMemory{Each.Where.Engine, Each.Where.At,
                                      Each.Where.Reservation, Each.Where.Tokens,
                                      this->Hold, false}));
}

void EngineMemoryPlugin::askAgain(Share &Each, Time Now, Actions &Out) {
  // What is held would be lost without a renewal; more is not asked for where
  // nothing may be sent.
  if (Each.Is == Stage::Held || !this->Gate->blocked(Each.Where.Engine, Now)) {
    this->ask(Each, Now, Out);
    return;
  }
  Each.Is = Stage::Refused;
  Each.Unanswered = true;
  Each.AskAgainAt = Never;
}

void EngineMemoryPlugin::take(const ReservationAnswered &Is, Time Now,
                              Actions &Out) {
  for (auto &[Id, Of] : this->Reservations) {
    const auto Found = std::ranges::find_if(Of.Shares, [&](const Share &Each) {
      return Each.Where.Reservation == Is.Name;
    });
    if (Found == Of.Shares.end())
      continue;
    switch (Is.Result) {
    case ReservationResult::Held:
      Found->Is = Stage::Held;
      Found->AskAgainAt = Now + this->RenewInterval;
      break;
    case ReservationResult::Waiting:
      Found->Is = Stage::Waiting;
      break;
    case ReservationResult::Refused:
      Found->Is = Stage::Refused;
      for (MemoryObserver *Each : this->Offered->list<MemoryObserver>().all())
        Each->memoryRefused(Found->Where.Engine, Now);
      break;
    case ReservationResult::Unknown:
      Found->Unanswered = true;
      break;
    }
    const RequestId Request = Id;
    this->decide(Request, Of, Now, Out);
    return;
  }
}

void EngineMemoryPlugin::decide(const RequestId &Id, Reservation &Of, Time Now,
                                Actions &Out) {
  if (Of.Decided)
    return;
  const auto Counts = [&](Stage Wanted) {
    return std::ranges::count(Of.Shares, Wanted, &Share::Is);
  };
  const bool All =
      Counts(Stage::Held) == static_cast<std::ptrdiff_t>(Of.Shares.size());
  const bool Failed =
      Counts(Stage::Refused) > 0 || Now >= Of.AskedAt + this->AcquireFor;
  if (!All && !Failed)
    return;
  Of.Decided = true;
  Out.log(logEvent(events::MemoryReserved)
              .with("request", Id.Value)
              .with("engines", Of.Shares.size())
              .with("tokens_each", Of.Shares.front().Where.Tokens)
              .with("had", All ? "true" : "false")
              .with("after_us", (Now - Of.AskedAt).count())
              .build());
  Out.count("memory_reservations", All ? "held" : "refused");
  const std::vector<HelperEngine> Shares =
      All ? Of.All : std::vector<HelperEngine>();
  if (!All)
    this->release(Id, Now, Out);
  for (MemoryObserver *Each : this->Offered->list<MemoryObserver>().all())
    Each->memoryDecided(Id, Shares, Now, Out);
}

void EngineMemoryPlugin::release(const RequestId &Id, Time Now, Actions &Out) {
  const auto Found = this->Reservations.find(Id);
  if (Found == this->Reservations.end())
    return;
  this->letGo(Found->second, Now, Out);
  this->Reservations.erase(Found);
  Out.log(logEvent(events::MemoryReleased).with("request", Id.Value).build());
}

void EngineMemoryPlugin::engineRestarted(const UpstreamId &Id, Time Now,
                                         Actions &Out) {
  std::erase_if(this->Late, [&](const LateRelease &Each) {
    return Each.Where.Engine == Id;
  });
  std::vector<RequestId> Hit;
  for (auto &[Request, Of] : this->Reservations)
    for (Share &Each : Of.Shares) {
      if (Each.Where.Engine != Id)
        continue;
      Each.Is = Stage::Refused;
      Each.Unanswered = false;
      Each.AskAgainAt = Never;
      Hit.push_back(Request);
    }
  for (const RequestId &Request : Hit) {
    const auto Found = this->Reservations.find(Request);
    if (Found != this->Reservations.end())
      this->decide(Request, Found->second, Now, Out);
  }
}

void EngineMemoryPlugin::letGo(const Reservation &Of, Time Now, Actions &Out) {
  for (const Share &Each : Of.Shares) {
    if (Each.Is != Stage::Refused || Each.Unanswered)
      Out.add(GatewayAction(ReleaseMemory{Each.Where.Engine, Each.Where.At,
                                          Each.Where.Reservation}));
    if (Each.Unanswered || Each.Is == Stage::Asked)
      this->Late.push_back(
          {Each.Where, Now + this->LateInterval, Now + this->LateFor});
  }
}

void EngineMemoryPlugin::renew(Time Now, Actions &Out) {
  std::vector<RequestId> Ids;
  for (const auto &[Id, Of] : this->Reservations)
    Ids.push_back(Id);
  for (const RequestId &Id : Ids) {
    const auto Found = this->Reservations.find(Id);
    if (Found == this->Reservations.end())
      continue;
    for (Share &Each : Found->second.Shares)
      if (Now >= Each.AskAgainAt)
        this->askAgain(Each, Now, Out);
    this->decide(Id, Found->second, Now, Out);
  }
}

void EngineMemoryPlugin::releaseLate(Time Now, Actions &Out) {
  for (LateRelease &Each : this->Late) {
    if (Now < Each.NextAt)
      continue;
    Each.NextAt = Now + this->LateInterval;
    Out.add(GatewayAction(ReleaseMemory{Each.Where.Engine, Each.Where.At,
                                        Each.Where.Reservation}));
  }
  std::erase_if(this->Late,
                [&](const LateRelease &Each) { return Now >= Each.Until; });
}

std::vector<SettingDeclaration> EngineMemoryPlugin::settings() {
  constexpr auto Span = SettingKind::Span;
  const std::string In = "engine_memory";
  return {
      {In, "hold", Span, "3s",
       "How long an engine keeps memory set aside without a renewal; under the "
       "four seconds in which unused memory must be free again.",
       100e3, 60e6},
      {In, "renew_interval", Span, "700ms",
       "How often memory in use is renewed: three renewals in a row may be "
       "lost.",
       10e3, 60e6},
      {In, "ask_interval", Span, "250ms",
       "How soon an engine that did not grant memory yet is asked again.", 10e3,
       60e6},
      {In, "acquire_for", Span, "1200ms",
       "After so long without all memory that a prompt needs, all is let go.",
       10e3, 60e6},
      {In, "late_for", Span, "14s",
       "Orders without an answer may be carried out so much later; memory is "
       "let go again until then.",
       0, 600e6},
      {In, "late_interval", Span, "1s",
       "How often memory is let go again after an order without an answer.",
       10e3, 60e6},
  };
}

namespace {

const PluginRegistration
    Registration({"engine_memory",
                  {"engine_signals"},
                  EngineMemoryPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<EngineMemoryPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
