/// \file
/// The control actor: one CAF actor on a thread of its own that owns the
/// kernel.
#pragma once

#include "app/ActionPerformer.h"
#include "app/EventSink.h"
#include "app/HostState.h"
#include "app/ProcessClock.h"
#include "kernel/Kernel.h"

#include <atomic>
#include <caf/all.hpp>

namespace banyanpick {

/// An event on its way to the actor.
struct ControlEvent {
  Event Payload;
  Time SentAt{};
};

/// The settings of the actor system, for a process with one actor.
class ControlSystemConfig : public caf::actor_system_config {
public:
  ControlSystemConfig();
};

/// The events' way in. Events that come before the actor is started are lost.
class Control : public EventSink {
public:
  explicit Control(const ProcessClock &Clock) : Clock(Clock) {}
  ~Control() override;

  /// Makes the actor, which takes the kernel over.
  void start(std::unique_ptr<Kernel> HostKernel, ActionPerformer &Router,
             HostState &State);
  /// Ends the actor and waits for its thread.
  void stop();

  void send(Event Incoming) override;
  /// Events that wait to be taken in.
  std::size_t waiting() const { return this->Waiting; }

private:
  const ProcessClock &Clock;
  std::atomic<std::size_t> Waiting = 0; ///< Events on their way.
  ControlSystemConfig Config;
  std::unique_ptr<caf::actor_system> System;
  caf::actor Actor;
};

} // namespace banyanpick

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyanpick::ControlEvent)
