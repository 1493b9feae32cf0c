/// \file
/// The record through which an entry host advertises itself in the store. Hosts
/// that start while none of their seeds answers read it.
#pragma once

#include "kernel/Upstream.h"
#include "relay/OrderedStore.h"

#include <optional>

namespace banyanpick {

KeyedRecord writeHostRecord(const HostListing &Host);

/// Returns nothing when the record is malformed or was withdrawn.
std::optional<HostListing> readHostRecord(const KeyedRecord &Record);

} // namespace banyanpick
