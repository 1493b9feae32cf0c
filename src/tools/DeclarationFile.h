/// \file
/// Reads files of declarations and formats the problems found in them.
#pragma once

#include "catalogue/Entry.h"
#include "settings/Settings.h"

#include <span>
#include <string>
#include <string_view>

namespace banyanpick::tools {

/// Formats each problem as one line:
/// `FILE:LINE: [team a] weight: problem; remedy`.
std::string problemLines(std::string_view FileName,
                         std::span<const SettingsProblem> Problems);

/// Returns the entries that \p Text declares. \p InForce is the catalogue in
/// force, or null if it is not known. Throws Error(BadInput) with all problems
/// of the text.
EntryMap readDeclarations(std::string_view FileName, std::string_view Text,
                          const EntryMap *InForce);

/// Returns the content of a file, or of standard input for `-`. Throws
/// Error(BadInput) if the file cannot be read.
std::string readWholeFile(const std::string &FileName);

} // namespace banyanpick::tools
