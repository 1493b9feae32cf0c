/// \file
/// The control actor: one CAF actor that runs on its own thread and owns the
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

/// An event that is queued for the actor.
struct ControlEvent {
  Event Payload;
  Time SentAt{};
  std::size_t Bytes = 0; ///< Size of the peer message in it.
};

/// The settings of the actor system, for a process with one actor.
class ControlSystemConfig : public caf::actor_system_config {
public:
  ControlSystemConfig();
};

/// Passes events to the control actor. Events sent before the actor is started
/// are lost.
class Control : public EventSink {
public:
  explicit Control(const ProcessClock &Clock) : Clock(Clock) {}
  ~Control() override;

  /// Starts the actor, which takes ownership of the kernel.
  void start(std::unique_ptr<Kernel> HostKernel, ActionPerformer &Router,
             HostState &State);
  /// Stops the actor and waits for its thread.
  void stop();

  void send(Event Incoming) override { this->send(std::move(Incoming), 0); }
  /// The same for an event with a peer message of \p Bytes bytes.
  void send(Event Incoming, std::size_t Bytes);
  /// Returns the number of queued events.
  std::size_t waiting() const { return this->Waiting; }
  /// Returns the size of the peer messages in the queued events.
  std::size_t waitingBytes() const { return this->WaitingBytes; }

private:
  const ProcessClock &Clock;
  std::atomic<std::size_t> Waiting = 0; ///< Number of queued events.
  std::atomic<std::size_t> WaitingBytes = 0;
  ControlSystemConfig Config;
  std::unique_ptr<caf::actor_system> System;
  caf::actor Actor;
};

} // namespace banyanpick

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(banyanpick::ControlEvent)
