/// \file
/// The deciding state machine of one entry host. It does no I/O, reads no
/// clock, starts no thread and shares nothing with other kernels.
#pragma once

#include "kernel/Plugin.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace banyanpick {

/// Events in, actions out. The same identity, settings, seed and events give
/// the same actions.
class Kernel {
public:
  /// Makes and initializes all registered plug-ins that serve so.
  Kernel(Identity Self, Settings Values, std::uint64_t Seed,
         ServingMode Mode = ServingMode::Catalogue);
  ~Kernel();
  Kernel(const Kernel &) = delete;
  Kernel &operator=(const Kernel &) = delete;

  /// Handles one event. \p Now never runs backwards; an earlier time than
  /// that of the last event is taken as that time.
  std::vector<Action> handle(const Event &What, Time Now);

  /// When the driver must send a Tick at the latest.
  Time nextWake() const;

  /// Checks all invariants after every event instead of every
  /// InvariantInterval-th; for tests.
  void checkEveryEvent() { this->Interval = 1; }

  /// Invariants broken so far.
  std::uint64_t invariantsBroken() const { return this->Monitor.total(); }

  /// What the plug-ins offer; for tests and the status page.
  Services &services() { return this->Offered; }
  const Identity &self() const { return this->Self; }

private:
  void start(Time Now, Actions &Out);
  void checkInvariants(Time Now, Actions &Out);

  /// How many events pass between two checks in the daemon.
  static constexpr std::uint64_t InvariantInterval = 1024;

  Identity Self;
  Settings Values;
  Random Numbers;
  Services Offered;
  std::vector<std::unique_ptr<Plugin>> Plugins;
  InvariantMonitor Monitor;
  Time Latest{};
  std::uint64_t Events = 0;
  std::uint64_t Interval = InvariantInterval;
  bool Started = false;
};

} // namespace banyanpick
