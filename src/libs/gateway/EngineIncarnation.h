/// \file
/// Engine ids, which identify one incarnation of an engine.
#pragma once

#include "kernel/Upstream.h"

#include <cstdint>
#include <string_view>

namespace banyanpick {

/// Returns the id of one incarnation of an engine: its registered name and, if
/// the engine reports it, its start time in Unix milliseconds. A restarted
/// engine has lost its state, so the state tracked for it must be dropped. Its
/// new incarnation has another id, which prevents state from being carried over
/// by mistake.
UpstreamId engineIncarnation(std::string_view Name, std::uint64_t StartMs);

/// Returns the name under which the engine registered. It is the same for all
/// incarnations.
std::string_view engineName(const UpstreamId &Id);

/// Returns the start time of the incarnation in Unix milliseconds, or 0 if the
/// engine does not report it.
std::uint64_t engineStartMs(const UpstreamId &Id);

} // namespace banyanpick
