/// \file
/// Converts load reports to and from protobuf messages.
#pragma once

#include "kernel/Upstream.h"

namespace banyanpick::wire {

class LoadReport;

void toWire(const banyanpick::LoadReport &Report, LoadReport &Out);

/// Throws Error(BadInput) when a value is out of its range.
banyanpick::LoadReport fromWire(const LoadReport &In);

} // namespace banyanpick::wire
