/// \file
/// Settings of a host that serves as a gateway.
#pragma once

#include "kernel/Plugin.h"
#include "relay/EngineRun.h"
#include "relay/KeyedFollower.h"
#include "settings/Settings.h"

#include <optional>
#include <vector>

namespace banyanpick {

struct GatewaySettings {
  std::string Protocol;
  Address Directory;
  Address Readiness;
  std::optional<Address> Metrics;
  Address Store;
  EngineRunLimits RunLimits;
  FollowOptions Declarations;
  FollowOptions Engines;
  Duration LinkIdle{};
  std::size_t LinksPerUpstream = 0;
  Duration ReportTimeout{};
  Duration SettingsCheckInterval{};
  Duration FlushAtStop{};
};

/// Returns the declarations of [gateway] and of [host] serving.
std::vector<SettingDeclaration> gatewaySettingDeclarations();

/// Returns the serving mode that [host] serving selects.
ServingMode servingFrom(const Settings &Values);

/// Throws Error(BadInput) when an address is missing or malformed.
GatewaySettings gatewaySettings(const Settings &Values);

} // namespace banyanpick
