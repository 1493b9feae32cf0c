/// \file
/// Generates the Markdown reference of the catalogue's INI keys.
#pragma once

#include <string>

namespace banyanpick {

/// Returns the complete content of docs/CATALOGUE.md.
std::string cataloguePage();

} // namespace banyanpick
