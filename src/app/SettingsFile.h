/// \file
/// Reads and checks the daemon's settings file.
#pragma once

#include "settings/Settings.h"

#include <optional>
#include <string>

namespace banyanpick {

/// Every wrong line is written to standard error as
/// `FILE:LINE: [section] key ...`; nothing is returned then.
std::optional<Settings> readSettingsFile(const std::string &File);

/// The same of a text; what is wrong is added to \p Problems.
std::optional<Settings>
readDaemonSettings(std::string_view Text,
                   std::vector<SettingsProblem> &Problems);

} // namespace banyanpick
