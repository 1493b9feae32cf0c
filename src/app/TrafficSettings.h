/// \file
/// The daemon's own settings: its identity and its traffic threads.
#pragma once

#include "app/RelayEntry.h"
#include "kernel/Plugin.h"
#include "settings/Settings.h"

#include <vector>

namespace banyanpick {

struct TrafficSettings {
  std::uint64_t Threads = 0;
  std::uint64_t ProgressChunks = 0; ///< Between two reports to control.
  Duration KeepEnded{};             ///< For ended streams without a reader.
  Duration FlushAtStop{};
  RelayLimits Relay;
};

/// Returns the declarations of sections [host] and [traffic].
std::vector<SettingDeclaration> trafficSettingDeclarations();

TrafficSettings trafficSettings(const Settings &Values);

/// Returns the identity of this host in incarnation \p Life. Throws
/// Error(BadInput).
Identity identityFrom(const Settings &Values, Incarnation Life);

/// Returns the declarations of all settings of the daemon.
std::vector<SettingDeclaration> daemonSettingDeclarations();

} // namespace banyanpick
