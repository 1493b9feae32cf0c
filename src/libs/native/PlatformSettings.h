/// \file
/// Addresses of the platform's services and timeouts of calls to them and to
/// upstreams.
#pragma once

#include "kernel/Upstream.h"
#include "settings/Settings.h"

#include <vector>

namespace banyanpick {

struct PlatformSettings {
  Address Log;
  Address HostList;
  Duration LogTimeout{};
  Duration LogWait{};
  Duration HostListTimeout{};
  Duration ConnectTimeout{}; ///< To an upstream.
  Duration PollTimeout{};
  Duration OrderTimeout{};
};

/// The settings of sections [platform] and [upstreams].
std::vector<SettingDeclaration> platformSettingDeclarations();

/// Throws Error(BadInput) if an address is malformed.
PlatformSettings platformSettings(const Settings &Values);

} // namespace banyanpick
