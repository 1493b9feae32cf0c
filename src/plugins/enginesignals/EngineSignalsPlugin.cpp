#include "plugins/enginesignals/EngineSignalsPlugin.h"

#include "base/EventNumbers.h"
#include "base/Milliseconds.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>
#include <iterator>

namespace banyanpick {

void EngineSignalsPlugin::initialize(PluginContext &Context) {
  this->Directory = &Context.services().get<EngineDirectory>();
  this->Active = &Context.services().get<ActiveHostsView>();
  this->Room = &Context.services().get<EngineQuota>();
  this->Self = Context.self().Host;
  Context.services().provide<EngineGate>(*this);
  Context.services().list<EngineObserver>().add(*this);
}

void EngineSignalsPlugin::handle(const Event &What, Time Now, Actions &Out) {
  this->greetNewcomers(Now, Out);
  match(
      What,
      [&](const PeerMessageReceived &Is) {
        if (const auto *Told = std::get_if<EngineSignals>(&Is.Message.Body))
          this->takePeer(Is.Message.From, *Told, Now, Out);
      },
      [&](const GatewayEvent &Is) {
        if (const auto *Heard = std::get_if<EngineSignalsReceived>(&Is))
          this->hear(*Heard, Now, Out);
      },
      [](const auto &) {});
}

std::optional<EngineBlocked>
EngineSignalsPlugin::blocked(const UpstreamId &Engine, Time Now) const {
  const RegisteredEngine *Known = this->Directory->find(Engine);
  if (!Known || Known->Standing == EngineStanding::Leaving)
    return EngineBlocked{EngineBlocked::Why::Leaving, std::nullopt};
  if (this->Own.isBackingOff(Engine, Now))
    return EngineBlocked{EngineBlocked::Why::BackingOff,
                         this->Own.until(Engine) - Now};
  if (!this->Room->hasQuota(Engine, Now))
    return EngineBlocked{EngineBlocked::Why::AtLimit,
                         this->Room->quotaAvailableAfter(Engine, Now)};
  return std::nullopt;
}

bool EngineSignalsPlugin::isDiscouraged(const UpstreamId &Engine,
                                        Time Now) const {
  return this->Peers.isBackingOff(Engine, Now);
}

void EngineSignalsPlugin::hear(const EngineSignalsReceived &Is, Time Now,
                               Actions &Out) {
  match(
      Is.Signals.Backoff, [](const NoBackoff &) {},
      [&](const BackoffRequested &Each) {
        this->rest(Is.Engine, Each.For, Now, Out);
      },
      [&](const BackoffUnreadable &Each) {
        Out.log(logEvent(events::EngineBackoffUnreadable)
                    .with("engine", Is.Engine.Value)
                    .with("said", Each.Text)
                    .with("taken_as_us", Each.AppliedLength.count())
                    .build());
        Out.count("engine_rests_unreadable", Is.Engine.Value);
        this->rest(Is.Engine, Each.AppliedLength, Now, Out);
      });
  if (Is.Signals.Leaving == LeavingSignal::Absent)
    return;
  const bool IsNews = this->leave(Is.Engine, Now, Out);
  if (IsNews && Is.Signals.Leaving == LeavingSignal::Unreadable)
    Out.log(logEvent(events::EngineLeavingUnreadable)
                .with("engine", Is.Engine.Value)
                .with("taken_as", "leaving")
                .build());
}

bool EngineSignalsPlugin::leave(const UpstreamId &Engine, Time Now,
                                Actions &Out) {
  if (!this->Leaving.insert(Engine).second)
    return false;
  Out.count("engines_said_leaving", Engine.Value);
  this->Directory->noteLeaving(Engine, "answer", Now, Out);
  EngineSignals Told;
  Told.Leaving.push_back(Engine);
  this->tell(this->Active->activeHosts(), Told, Out);
  return true;
}

void EngineSignalsPlugin::rest(const UpstreamId &Engine, Duration For, Time Now,
                               Actions &Out) {
  this->Own.age(Now);
  if (!this->Own.take(Engine, Now + For, Now))
    return;
  Out.count("engine_rests", Engine.Value);
  Out.log(logEvent(events::EngineBackoffRequested)
              .with("engine", Engine.Value)
              .with("for_us", For.count())
              .with("from", this->Self.Value)
              .build());
  EngineSignals Told;
  Told.Backoffs.push_back({Engine, inMilliseconds(For)});
  this->tell(this->Active->activeHosts(), Told, Out);
}

void EngineSignalsPlugin::takePeer(const HostId &From,
                                   const EngineSignals &Told, Time Now,
                                   Actions &Out) {
  this->Peers.age(Now);
  for (const EngineSignals::Backoff &Each : Told.Backoffs) {
    const Duration Left = fromMilliseconds(Each.LeftMs);
    if (this->Peers.take(Each.Engine, Now + Left, Now))
      Out.log(logEvent(events::EngineBackoffRequested)
                  .with("engine", Each.Engine.Value)
                  .with("for_us", Left.count())
                  .with("from", From.Value)
                  .build());
  }
  for (const UpstreamId &Each : Told.Leaving)
    this->Directory->noteLeaving(Each, From.Value, Now, Out);
}

void EngineSignalsPlugin::greetNewcomers(Time Now, Actions &Out) {
  const auto Active = this->Active->activeHosts();
  if (std::ranges::equal(Active, this->Hosts))
    return;
  std::vector<HostId> Newcomers;
  std::ranges::set_difference(Active, this->Hosts,
                              std::back_inserter(Newcomers));
  this->Hosts.assign(Active.begin(), Active.end());
  EngineSignals Told;
  for (const auto &[Engine, Until] : this->Own.ends())
    if (Until > Now)
      Told.Backoffs.push_back({Engine, inMilliseconds(Until - Now)});
  Told.Leaving.assign(this->Leaving.begin(), this->Leaving.end());
  if (Told != EngineSignals())
    this->tell(Newcomers, Told, Out);
}

void EngineSignalsPlugin::engineRemoved(const UpstreamId &Id, Time, Actions &) {
  this->Leaving.erase(Id);
}

void EngineSignalsPlugin::tell(std::span<const HostId> To,
                               const EngineSignals &What, Actions &Out) const {
  for (const HostId &Each : To)
    if (Each != this->Self)
      Out.add(SendToPeer{Each, What});
}

std::vector<SettingDeclaration> EngineSignalsPlugin::settings() { return {}; }

namespace {

const PluginRegistration
    Registration({"engine_signals",
                  {"active_hosts", "engine_limits", "engines"},
                  EngineSignalsPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<EngineSignalsPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
