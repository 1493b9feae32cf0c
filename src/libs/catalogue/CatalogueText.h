/// \file
/// The canonical text of a catalogue: equal catalogues give equal bytes on
/// every host, as snapshots in the log need it.
#pragma once

#include "catalogue/Entry.h"

#include <string>
#include <string_view>

namespace banyanpick {

/// One line an entry, in the order of their keys, as JSON with its members in
/// alphabetical order; versions and owners included.
std::string canonicalText(const EntryMap &Entries);

/// The inverse. Throws Error(BadInput) when the text is malformed.
EntryMap entriesFromCanonicalText(std::string_view Text);

} // namespace banyanpick
