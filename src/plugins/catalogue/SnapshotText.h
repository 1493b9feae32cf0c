/// \file
/// The catalogue's state as canonical text: equal states, equal bytes.
#pragma once

#include "catalogue/Fold.h"

#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// What a snapshot holds beside its offset.
struct SnapshotState {
  EntryMap Entries;
  std::vector<KnownVerdict> Verdicts;
};

/// The text of everything that the fold of later records depends on.
std::string serializeSnapshot(const Catalogue &Source);

/// The inverse. Throws Error(BadInput) on text that no host wrote.
SnapshotState parseSnapshot(std::string_view Text);

} // namespace banyanpick
