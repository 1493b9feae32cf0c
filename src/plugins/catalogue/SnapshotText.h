/// \file
/// Converts the catalogue's state to and from canonical text. Equal states give
/// equal bytes.
#pragma once

#include "catalogue/Catalogue.h"

#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// The content of a snapshot except its offset.
struct SnapshotState {
  EntryMap Entries;
  std::vector<KnownVerdict> Verdicts;
};

/// Returns the text of all state that the fold of later records depends on.
std::string serializeSnapshot(const Catalogue &Source);

/// Parses the text of serializeSnapshot(). Throws Error(BadInput) on any other
/// text.
SnapshotState parseSnapshot(std::string_view Text);

} // namespace banyanpick
