#include "app/Control.h"

#include "app/ControlDelay.h"
#include "base/EventNumbers.h"

namespace banyanpick {

namespace {

using WakeAtom = caf::atom_constant<caf::atom("wake")>;
using StopAtom = caf::atom_constant<caf::atom("stop")>;

/// The state of the actor. Used on its thread only.
struct ActorData {
  std::unique_ptr<Kernel> HostKernel;
  ActionPerformer &Router;
  HostState &State;
  const ProcessClock &Clock;
  std::atomic<std::size_t> &Waiting; ///< Number of queued events.
  std::atomic<std::size_t> &WaitingBytes;
  ControlDelay Delay;
  /// When the current wake message arrives. Wake messages scheduled earlier for
  /// a later time still arrive and are ignored. If they were handled, each
  /// would schedule another message, and their number would only grow.
  Time WakeAt = Never;

  /// An exception would end the actor, and with it every answer of this host.
  /// The kernel guards its plug-ins itself.
  void handle(const Event &Incoming) {
    const Time Now = this->Clock.now();
    try {
      this->Router.perform(this->HostKernel->handle(Incoming, Now));
    } catch (const std::exception &Failure) {
      this->reportThrown(Failure.what());
    }
    if (const auto *Ended = std::get_if<AttemptEnded>(&Incoming))
      this->Router.forget(Ended->Attempt);
  }

  void reportThrown(std::string_view What) {
    const std::string Invariant = "control does not throw: ";
    Actions Out;
    Out.log(logEvent(events::InvariantBroken)
                .with("invariant", Invariant + std::string(What))
                .build());
    Out.count("invariants_broken", Invariant);
    this->Router.perform(Out.take());
  }

  void recordDelay(Time SentAt, std::size_t Bytes) {
    const Time Now = this->Clock.now();
    this->WaitingBytes -= Bytes;
    Actions Out;
    this->Delay.record(Now - SentAt, {--this->Waiting, this->WaitingBytes}, Now,
                       Out);
    if (!Out.items().empty())
      this->Router.perform(Out.take());
  }

  void publish() {
    const Services &KernelServices = this->HostKernel->services();
    const auto *Catalogue = KernelServices.find<CatalogueView>();
    const auto *Drain = KernelServices.find<DrainView>();
    const auto *InForce = KernelServices.find<InForceView>();
    this->State.Ready =
        InForce ? InForce->isReady() : Catalogue && Catalogue->isReady();
    this->State.Current = Catalogue && Catalogue->isCurrent(this->Clock.now());
    this->State.Leaving = Drain && Drain->isLeaving();
  }
};

/// The minimum delay between two ticks.
constexpr milliseconds MinSleep(1);

void scheduleWake(caf::event_based_actor *Self, ActorData &Data) {
  const Time WakeTime = Data.HostKernel->nextWake();
  if (WakeTime == Never || WakeTime >= Data.WakeAt)
    return;
  const Duration Sleep =
      std::max<Duration>(WakeTime - Data.Clock.now(), MinSleep);
  Data.WakeAt = Data.Clock.now() + Sleep;
  Self->delayed_send(Self, Sleep, WakeAtom::value,
                     Data.WakeAt.time_since_epoch().count());
}

void handleEvent(caf::event_based_actor *Self, ActorData &Data,
                 const Event &Incoming) {
  Data.handle(Incoming);
  Data.publish();
  scheduleWake(Self, Data);
}

caf::behavior runControl(caf::event_based_actor *Self,
                         const std::shared_ptr<ActorData> &Data) {
  handleEvent(Self, *Data, Tick{});
  return {
      [=](const ControlEvent &Message) {
        Data->recordDelay(Message.SentAt, Message.Bytes);
        handleEvent(Self, *Data, Message.Payload);
      },
      [=](WakeAtom, Duration::rep PlannedFor) {
        if (PlannedFor != Data->WakeAt.time_since_epoch().count())
          return;
        Data->WakeAt = Never;
        handleEvent(Self, *Data, Tick{});
      },
      [=](StopAtom) { Self->quit(); },
  };
}

} // namespace

ControlSystemConfig::ControlSystemConfig() {
  this->set("scheduler.max-threads", 1U);
  // The actor runs on its own thread, so the scheduler's thread is idle. With
  // the default policy the idle thread polls for work 100 times per second.
  this->set("scheduler.policy", caf::atom("sharing"));
}

Control::~Control() { this->stop(); }

void Control::start(std::unique_ptr<Kernel> HostKernel, ActionPerformer &Router,
                    HostState &State) {
  this->System = std::make_unique<caf::actor_system>(this->Config);
  auto Data = std::make_shared<ActorData>(ActorData{
      std::move(HostKernel), Router, State, this->Clock, this->Waiting,
      this->WaitingBytes, ControlDelay(readProcessMemory), Never});
  this->Actor = this->System->spawn<caf::detached>(runControl, Data);
}

void Control::stop() {
  if (!this->System)
    return;
  caf::anon_send(this->Actor, StopAtom::value);
  this->System->await_all_actors_done();
  this->Actor = nullptr;
  this->System.reset();
}

void Control::send(Event Incoming, std::size_t Bytes) {
  // Lost events do not count as queued.
  if (!this->Actor)
    return;
  ++this->Waiting;
  this->WaitingBytes += Bytes;
  caf::anon_send(this->Actor,
                 ControlEvent{std::move(Incoming), this->Clock.now(), Bytes});
}

} // namespace banyanpick
