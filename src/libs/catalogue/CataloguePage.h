/// \file
/// The keys of the catalogue's INI form as a page in Markdown.
#pragma once

#include <string>

namespace banyanpick {

/// A chapter "Catalogue" that follows the settings' page.
std::string cataloguePage();

} // namespace banyanpick
