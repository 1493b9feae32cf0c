/// \file
/// Which life of an engine an id stands for.
#pragma once

#include "kernel/Upstream.h"

#include <cstdint>
#include <string_view>

namespace banyanpick {

/// The id of one life of an engine: its registered name and, where it tells
/// one, the Unix millisecond of its start. An engine that starts again under
/// its name remembers nothing, so everything believed of it must end; as its
/// new life has another id, no belief is carried over by mistake.
UpstreamId engineIncarnation(std::string_view Name, std::uint64_t StartMs);

/// The name that the engine registered under; all its lives share it.
std::string_view engineName(const UpstreamId &Life);

/// The Unix millisecond of the life's start; 0 when the engine tells none.
std::uint64_t engineStartMs(const UpstreamId &Life);

} // namespace banyanpick
