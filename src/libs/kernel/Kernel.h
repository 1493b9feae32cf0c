/// \file
/// The decision-making state machine of one entry host. It does no I/O, reads
/// no clock, starts no threads and shares no state with other kernels.
#pragma once

#include "kernel/Plugin.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace banyanpick {

/// Converts events into actions. Deterministic: the same identity, settings,
/// seed and events result in the same actions.
class Kernel {
public:
  /// Creates and initializes the registered plug-ins of the serving mode.
  Kernel(Identity Self, Settings Values, std::uint64_t Seed,
         ServingMode Mode = ServingMode::Catalogue);
  ~Kernel();
  Kernel(const Kernel &) = delete;
  Kernel &operator=(const Kernel &) = delete;

  /// Handles one event. The kernel's time never moves backwards: if \p Now is
  /// earlier than the time of the last event, that time is used instead.
  std::vector<Action> handle(const Event &Input, Time Now);

  /// Returns the latest time at which the driver must send a Tick.
  Time nextWake() const;

  /// Checks all invariants after every event instead of every
  /// InvariantInterval-th event; for tests.
  void checkEveryEvent() { this->Interval = 1; }

  /// Returns the number of invariant violations so far.
  std::uint64_t invariantsBroken() const { return this->Monitor.total(); }

  /// Returns the services of the plug-ins; for tests and the status page.
  Services &services() { return this->Registry; }
  const Identity &self() const { return this->Self; }

private:
  void start(Time Now, Actions &Out);
  void checkInvariants(Time Now, Actions &Out);
  /// Calls a plug-in. An exception is reported as a broken invariant; the other
  /// plug-ins still get the event, and their actions are kept.
  template <class Function> void guard(Function Call, Actions &Out);
  void reportBroken(Actions &Out);

  /// Number of events between two invariant checks in the daemon.
  static constexpr std::uint64_t InvariantInterval = 1024;

  Identity Self;
  Settings Values;
  Random Numbers;
  Services Registry;
  std::vector<std::unique_ptr<Plugin>> Plugins;
  InvariantMonitor Monitor;
  Time Latest{};
  std::uint64_t Events = 0;
  std::uint64_t Interval = InvariantInterval;
  bool Started = false;
};

} // namespace banyanpick
