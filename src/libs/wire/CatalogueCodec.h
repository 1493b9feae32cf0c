/// \file
/// Converts change sets to and from protobuf messages.
#pragma once

#include "catalogue/Entry.h"

namespace banyanpick::wire {

class ChangeSet;

void toWire(const banyanpick::ChangeSet &Set, ChangeSet &Out);

/// Throws Error(BadInput) when an alternative is missing or unknown.
banyanpick::ChangeSet fromWire(const ChangeSet &In);

} // namespace banyanpick::wire
