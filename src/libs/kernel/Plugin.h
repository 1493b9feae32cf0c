/// \file
/// The interface of the kernel's plug-ins. Each plug-in owns the state of one
/// kind of decision.
#pragma once

#include "base/Random.h"
#include "kernel/Action.h"
#include "kernel/Event.h"
#include "kernel/InvariantMonitor.h"
#include "kernel/Services.h"
#include "settings/Settings.h"

#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace banyanpick {

/// The identity of a kernel, set at its construction.
struct Identity {
  HostId Host;
  Incarnation Life; ///< Drawn at random by the driver.
  ZoneId Zone;
  Address Callers;
  Address Peers;
  ProcessorShare Processor;
};

/// The data and services available to a plug-in in initialize().
class PluginContext {
public:
  PluginContext(const Identity &Self, const Settings &Values,
                Services &Registry, Random &Numbers)
      : Self(Self), Values(Values), Registry(Registry), Numbers(Numbers) {}

  const Identity &self() const { return this->Self; }
  const Settings &settings() const { return this->Values; }
  Services &services() { return this->Registry; }
  /// Valid for the lifetime of the kernel.
  Random &random() { return this->Numbers; }

private:
  const Identity &Self;
  const Settings &Values;
  Services &Registry;
  Random &Numbers;
};

/// The base class of plug-ins. The kernel passes each event to all plug-ins in
/// dependency order, dependencies first.
class Plugin {
public:
  virtual ~Plugin() = default;

  /// Provides and retrieves services. Called once, dependencies first.
  virtual void initialize(PluginContext &Context) = 0;

  /// Called before the kernel handles its first event.
  virtual void start(Time, Actions &) {}

  /// Handles the events that concern the plug-in and ignores the others.
  virtual void handle(const Event &Input, Time Now, Actions &Out) = 0;

  /// Returns the latest time at which the plug-in needs a Tick, or Never.
  virtual Time nextWake() const { return Never; }

  /// Checks the invariants that must hold between events.
  virtual void checkInvariants(InvariantMonitor &, Time) const {}
};

/// The protocols that a kernel can serve: the native protocol with a catalogue
/// stored in a log, or a gateway that relays complete requests by declared
/// routes.
enum class ServingMode { Catalogue, Gateway };

/// The kernels that include a plug-in, by serving mode.
enum class PluginUse { Catalogue, Gateway, Both };

/// The static description of a plug-in.
struct PluginDescription {
  std::string_view Name;
  std::vector<std::string_view> Dependencies;
  /// Declares the settings that the plug-in reads, with their defaults.
  std::vector<SettingDeclaration> (*DeclareSettings)();
  std::unique_ptr<Plugin> (*Make)();
  PluginUse Use = PluginUse::Catalogue;
};

} // namespace banyanpick
