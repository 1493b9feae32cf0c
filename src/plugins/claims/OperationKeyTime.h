/// \file
/// Reads the creation time encoded in an operation key.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <optional>

namespace banyanpick {

/// Returns the creation time encoded in the first 48 bits of the key (RFC 9562,
/// version 7), or nothing when the key is not a UUIDv7.
std::optional<Time> creationTime(const OperationKey &Key);

} // namespace banyanpick
