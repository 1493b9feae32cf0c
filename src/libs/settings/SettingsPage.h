/// \file
/// The page of settings in Markdown, made from their declarations.
#pragma once

#include "settings/SettingDeclaration.h"

#include <span>
#include <string>

namespace banyanpick {

/// One table a section, sections by name, keys as they are declared.
std::string settingsPage(std::span<const SettingDeclaration> Declarations);

/// \p Text as it may stand in a cell of a Markdown table.
std::string tableCell(std::string_view Text);

} // namespace banyanpick
