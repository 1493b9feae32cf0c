/// \file
/// The word that an entry host leaves of itself in the store, for hosts that
/// start while none of their seeds answers.
#pragma once

#include "kernel/Upstream.h"
#include "relay/OrderedStore.h"

#include <optional>

namespace banyanpick {

KeyedRecord writeHostRecord(const HostListing &Host);

/// Nothing when the record is malformed or withdrawn.
std::optional<HostListing> readHostRecord(const KeyedRecord &Record);

} // namespace banyanpick
