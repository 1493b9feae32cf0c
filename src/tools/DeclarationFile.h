/// \file
/// Files of declarations, and everything wrong with one.
#pragma once

#include "catalogue/Entry.h"
#include "settings/Settings.h"

#include <span>
#include <string>
#include <string_view>

namespace banyanpick::tools {

/// One line a problem: `FILE:LINE: [team a] weight: what; remedy`.
std::string problemLines(std::string_view FileName,
                         std::span<const SettingsProblem> Problems);

/// The entries that \p Text declares; \p InForce is null when it is not known.
/// Throws Error(BadInput) with all its problems.
EntryMap readDeclarations(std::string_view FileName, std::string_view Text,
                          const EntryMap *InForce);

/// The whole of a file, or of standard input for `-`. Throws Error(BadInput).
std::string readWholeFile(const std::string &FileName);

} // namespace banyanpick::tools
