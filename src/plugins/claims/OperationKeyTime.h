/// \file
/// The creation time that an operation key holds.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <optional>

namespace banyanpick {

/// When the key was made, from its first 48 bits (RFC 9562, version 7);
/// nothing when the key is no UUIDv7.
std::optional<Time> creationTime(const OperationKey &Key);

} // namespace banyanpick
