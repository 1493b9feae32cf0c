/// \file
/// Reads and checks the daemon's settings file.
#pragma once

#include "settings/Settings.h"

#include <optional>
#include <string>

namespace banyanpick {

/// Reads the file. Writes every invalid line to standard error as
/// `FILE:LINE: [section] key ...` and returns nothing if there is any.
std::optional<Settings> readSettingsFile(const std::string &File);

/// Reads settings from a text. Adds every problem to \p Problems and returns
/// nothing if there is any.
std::optional<Settings>
readDaemonSettings(std::string_view Text,
                   std::vector<SettingsProblem> &Problems);

} // namespace banyanpick
