#include "app/Control.h"

#include "app/ControlDelay.h"

namespace banyanpick {

namespace {

using WakeAtom = caf::atom_constant<caf::atom("wake")>;
using StopAtom = caf::atom_constant<caf::atom("stop")>;

/// What the actor holds. Used on its thread only.
struct ControlParts {
  std::unique_ptr<Kernel> Owned;
  ActionPerformer &Router;
  HostState &State;
  const ProcessClock &Clock;
  std::atomic<std::size_t> &Waiting; ///< Events on their way here.
  ControlDelay Delay;
  /// When the wake message that counts will come. Those planned earlier for a
  /// later time still come; taken as wakes, each would plan one more, and their
  /// number would only grow.
  Time WakeAt = Never;

  void handle(const Event &What) {
    this->Router.perform(this->Owned->handle(What, this->Clock.now()));
    if (const auto *Ended = std::get_if<AttemptEnded>(&What))
      this->Router.forget(Ended->Attempt);
  }

  void noteDelay(Time SentAt) {
    const Time Now = this->Clock.now();
    Actions Out;
    this->Delay.note(Now - SentAt, --this->Waiting, Now, Out);
    if (!Out.items().empty())
      this->Router.perform(Out.take());
  }

  void publish() {
    const Services &Offered = this->Owned->services();
    const auto *Catalogue = Offered.find<CatalogueView>();
    const auto *Drain = Offered.find<DrainView>();
    const auto *InForce = Offered.find<InForceView>();
    this->State.Ready =
        InForce ? InForce->isReady() : Catalogue && Catalogue->isReady();
    this->State.Current = Catalogue && Catalogue->isCurrent(this->Clock.now());
    this->State.Leaving = Drain && Drain->isLeaving();
  }
};

/// The shortest sleep between two ticks.
constexpr milliseconds ShortestSleep(1);

void planWake(caf::event_based_actor *Self, ControlParts &Parts) {
  const Time Wanted = Parts.Owned->nextWake();
  if (Wanted == Never || Wanted >= Parts.WakeAt)
    return;
  const Duration Sleep =
      std::max<Duration>(Wanted - Parts.Clock.now(), ShortestSleep);
  Parts.WakeAt = Parts.Clock.now() + Sleep;
  Self->delayed_send(Self, Sleep, WakeAtom::value,
                     Parts.WakeAt.time_since_epoch().count());
}

void take(caf::event_based_actor *Self, ControlParts &Parts,
          const Event &What) {
  Parts.handle(What);
  Parts.publish();
  planWake(Self, Parts);
}

caf::behavior runControl(caf::event_based_actor *Self,
                         const std::shared_ptr<ControlParts> &Parts) {
  take(Self, *Parts, Tick{});
  return {
      [=](const ControlEvent &Given) {
        Parts->noteDelay(Given.SentAt);
        take(Self, *Parts, Given.What);
      },
      [=](WakeAtom, Duration::rep PlannedFor) {
        if (PlannedFor != Parts->WakeAt.time_since_epoch().count())
          return;
        Parts->WakeAt = Never;
        take(Self, *Parts, Tick{});
      },
      [=](StopAtom) { Self->quit(); },
  };
}

} // namespace

ControlSystemConfig::ControlSystemConfig() {
  this->set("scheduler.max-threads", 1U);
  // The actor has a thread of its own, so the scheduler's has nothing to do;
  // the default policy has it look for work a hundred times a second.
  this->set("scheduler.policy", caf::atom("sharing"));
}

Control::~Control() { this->stop(); }

void Control::start(std::unique_ptr<Kernel> Owned, ActionPerformer &Router,
                    HostState &State) {
  this->System = std::make_unique<caf::actor_system>(this->Config);
  auto Parts = std::make_shared<ControlParts>(ControlParts{
      std::move(Owned), Router, State, this->Clock, this->Waiting, {}, Never});
  this->Actor = this->System->spawn<caf::detached>(runControl, Parts);
}

void Control::stop() {
  if (!this->System)
    return;
  caf::anon_send(this->Actor, StopAtom::value);
  this->System->await_all_actors_done();
  this->Actor = nullptr;
  this->System.reset();
}

void Control::send(Event What) {
  // What is lost is not waited for.
  if (!this->Actor)
    return;
  ++this->Waiting;
  caf::anon_send(this->Actor, ControlEvent{std::move(What), this->Clock.now()});
}

} // namespace banyanpick
