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
  this->Quota = &Context.services().get<EngineQuota>();
  this->Evacuations = &Context.services().get<EvacuationView>();
  this->Self = Context.self().Host;
  Context.services().provide<EngineGate>(*this);
  Context.services().list<EngineObserver>().add(*this);
}

void EngineSignalsPlugin::handle(const Event &Received, Time Now,
                                 Actions &Out) {
  this->sendToNewcomers(Now, Out);
  match(
      Received,
      [&](const PeerMessageReceived &Incoming) {
        if (const auto *Message =
                std::get_if<EngineSignals>(&Incoming.Message.Body))
          this->takePeer(Incoming.Message.From, *Message, Now, Out);
      },
      [&](const GatewayEvent &Change) {
        if (const auto *Heard = std::get_if<EngineSignalsReceived>(&Change))
          this->takeSignal(*Heard, Now, Out);
      },
      [](const auto &) {});
}

std::optional<EngineBlocked>
EngineSignalsPlugin::blocked(const UpstreamId &Engine, Time Now) const {
  const RegisteredEngine *Registered = this->Directory->find(Engine);
  if (!Registered || Registered->Standing == EngineStanding::Leaving)
    return EngineBlocked{EngineBlocked::Why::Leaving, std::nullopt};
  if (this->Evacuations->isEvacuated(Registered->Record.Zone))
    return EngineBlocked{EngineBlocked::Why::Evacuated, std::nullopt};
  if (this->OwnBackoffs.isBackingOff(Engine, Now))
    return EngineBlocked{EngineBlocked::Why::BackingOff,
                         this->OwnBackoffs.until(Engine) - Now};
  if (!this->Quota->hasQuota(Engine, Now))
    return EngineBlocked{EngineBlocked::Why::AtLimit,
                         this->Quota->quotaAvailableAfter(Engine, Now)};
  return std::nullopt;
}

bool EngineSignalsPlugin::isDiscouraged(const UpstreamId &Engine,
                                        Time Now) const {
  return this->PeerBackoffs.isBackingOff(Engine, Now);
}

void EngineSignalsPlugin::takeSignal(const EngineSignalsReceived &Answer,
                                     Time Now, Actions &Out) {
  match(
      Answer.Signals.Backoff, [](const NoBackoff &) {},
      [&](const BackoffRequested &Backoff) {
        this->startBackoff(Answer.Engine, Backoff.For, Now, Out);
      },
      [&](const BackoffUnreadable &Backoff) {
        Out.log(logEvent(events::EngineBackoffUnreadable)
                    .with("engine", Answer.Engine.Value)
                    .with("said", Backoff.Text)
                    .with("taken_as_us", Backoff.AppliedLength.count())
                    .build());
        Out.count("engine_rests_unreadable", Answer.Engine.Value);
        this->startBackoff(Answer.Engine, Backoff.AppliedLength, Now, Out);
      });
  if (Answer.Signals.Leaving == LeavingSignal::Absent)
    return;
  const bool IsNews = this->startLeaving(Answer.Engine, Now, Out);
  if (IsNews && Answer.Signals.Leaving == LeavingSignal::Unreadable)
    Out.log(logEvent(events::EngineLeavingUnreadable)
                .with("engine", Answer.Engine.Value)
                .with("taken_as", "leaving")
                .build());
}

bool EngineSignalsPlugin::startLeaving(const UpstreamId &Engine, Time Now,
                                       Actions &Out) {
  if (!this->Leaving.insert(Engine).second)
    return false;
  Out.count("engines_said_leaving", Engine.Value);
  this->Directory->noteLeaving(Engine, "answer", Now, Out);
  EngineSignals Message;
  Message.Leaving.push_back(Engine);
  this->sendTo(this->Active->activeHosts(), Message, Out);
  return true;
}

void EngineSignalsPlugin::startBackoff(const UpstreamId &Engine, Duration For,
                                       Time Now, Actions &Out) {
  this->OwnBackoffs.age(Now);
  if (!this->OwnBackoffs.take(Engine, Now + For, Now))
    return;
  Out.count("engine_rests", Engine.Value);
  Out.log(logEvent(events::EngineBackoffRequested)
              .with("engine", Engine.Value)
              .with("for_us", For.count())
              .with("from", this->Self.Value)
              .build());
  EngineSignals Message;
  Message.Backoffs.push_back({Engine, inMilliseconds(For)});
  this->sendTo(this->Active->activeHosts(), Message, Out);
}

void EngineSignalsPlugin::takePeer(const HostId &From,
                                   const EngineSignals &Message, Time Now,
                                   Actions &Out) {
  this->PeerBackoffs.age(Now);
  for (const EngineSignals::Backoff &Backoff : Message.Backoffs) {
    const Duration Left = fromMilliseconds(Backoff.LeftMs);
    if (this->PeerBackoffs.take(Backoff.Engine, Now + Left, Now))
      Out.log(logEvent(events::EngineBackoffRequested)
                  .with("engine", Backoff.Engine.Value)
                  .with("for_us", Left.count())
                  .with("from", From.Value)
                  .build());
  }
  for (const UpstreamId &Engine : Message.Leaving)
    this->Directory->noteLeaving(Engine, From.Value, Now, Out);
}

void EngineSignalsPlugin::sendToNewcomers(Time Now, Actions &Out) {
  const auto Active = this->Active->activeHosts();
  if (std::ranges::equal(Active, this->Hosts))
    return;
  std::vector<HostId> Newcomers;
  std::ranges::set_difference(Active, this->Hosts,
                              std::back_inserter(Newcomers));
  this->Hosts.assign(Active.begin(), Active.end());
  EngineSignals Message;
  for (const auto &[Engine, Until] : this->OwnBackoffs.ends())
    if (Until > Now)
      Message.Backoffs.push_back({Engine, inMilliseconds(Until - Now)});
  Message.Leaving.assign(this->Leaving.begin(), this->Leaving.end());
  if (Message != EngineSignals())
    this->sendTo(Newcomers, Message, Out);
}

void EngineSignalsPlugin::engineRemoved(const UpstreamId &Id, Time, Actions &) {
  this->Leaving.erase(Id);
}

void EngineSignalsPlugin::sendTo(std::span<const HostId> To,
                                 const EngineSignals &Message,
                                 Actions &Out) const {
  for (const HostId &Host : To)
    if (Host != this->Self)
      Out.add(SendToPeer{Host, Message});
}

std::vector<SettingDeclaration> EngineSignalsPlugin::settings() { return {}; }

namespace {

const PluginRegistration
    Registration({"engine_signals",
                  {"active_hosts", "engine_limits", "engines", "evacuation"},
                  EngineSignalsPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<EngineSignalsPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
