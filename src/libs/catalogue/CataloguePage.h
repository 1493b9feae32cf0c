/// \file
/// The keys of the catalogue's INI form as a page in Markdown.
#pragma once

#include <string>

namespace banyanpick {

/// The whole of docs/CATALOGUE.md.
std::string cataloguePage();

} // namespace banyanpick
