/// \file
/// Settings of the daemon itself: who it is, and how its traffic runs.
#pragma once

#include "app/RelayEntry.h"
#include "kernel/Plugin.h"
#include "settings/Settings.h"

#include <vector>

namespace banyanpick {

struct TrafficSettings {
  std::uint64_t Threads = 0;
  std::uint64_t ProgressChunks = 0; ///< Between two reports to control.
  Duration KeepEnded{};             ///< Ended streams not yet delivered.
  Duration FlushAtStop{};
  RelayLimits Relay;
};

/// The settings of sections [host] and [traffic].
std::vector<SettingDeclaration> trafficSettingDeclarations();

TrafficSettings trafficSettings(const Settings &Values);

/// Who this host is; its life is \p Life. Throws Error(BadInput).
Identity identityFrom(const Settings &Values, Incarnation Life);

/// Everything that a settings file may hold.
std::vector<SettingDeclaration> daemonSettingDeclarations();

} // namespace banyanpick
