/// \file
/// What a plug-in of the kernel is. Each holds the state of one decision.
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

/// What a kernel is told of itself at its start.
struct Identity {
  HostId Host;
  Incarnation Life; ///< Random; drawn by the driver.
  ZoneId Zone;
  Address Callers;
  Address Peers;
  ProcessorShare Processor;
};

/// What a plug-in gets at its start.
class PluginContext {
public:
  PluginContext(const Identity &Self, const Settings &Values, Services &Offered,
                Random &Numbers)
      : Self(Self), Values(Values), Offered(Offered), Numbers(Numbers) {}

  const Identity &self() const { return this->Self; }
  const Settings &settings() const { return this->Values; }
  Services &services() { return this->Offered; }
  /// Stays valid as long as the kernel.
  Random &random() { return this->Numbers; }

private:
  const Identity &Self;
  const Settings &Values;
  Services &Offered;
  Random &Numbers;
};

/// The entry class of a plug-in. Plug-ins see each event in the order of
/// their dependencies, those depended upon first.
class Plugin {
public:
  virtual ~Plugin() = default;

  /// Provides and gets services. Called once, dependencies first.
  virtual void initialize(PluginContext &Context) = 0;

  /// Called at the kernel's first event, before it is handled.
  virtual void start(Time, Actions &) {}

  /// Visits the events that concern the plug-in and ignores the others.
  virtual void handle(const Event &What, Time Now, Actions &Out) = 0;

  /// When the plug-in wants a Tick at the latest. Never: it waits for nothing.
  virtual Time nextWake() const { return Never; }

  /// Tells the monitor of what must hold between events.
  virtual void checkInvariants(InvariantMonitor &, Time) const {}
};

/// The protocols that a kernel can serve: the product's own, with a catalogue
/// kept in a log, or as a gateway that relays requests whole by declared
/// routes.
enum class ServingMode { Catalogue, Gateway };

/// Which kernels a plug-in is a part of.
enum class PluginUse { Catalogue, Gateway, Both };

/// What is known of a plug-in before it is made.
struct PluginDescription {
  std::string_view Name;
  std::vector<std::string_view> Dependencies;
  /// The settings it reads, with their defaults.
  std::vector<SettingDeclaration> (*DeclareSettings)();
  std::unique_ptr<Plugin> (*Make)();
  PluginUse Use = PluginUse::Catalogue;
};

} // namespace banyanpick
