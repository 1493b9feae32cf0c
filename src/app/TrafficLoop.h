/// \file
/// The loop of a traffic thread.
#pragma once

#include "app/ProcessClock.h"
#include "http/Asio.h"

namespace banyanpick {

/// Runs until the context is stopped. What throws is lost and logged; the other
/// connections of the thread go on.
void runTrafficLoop(net::io_context &Io, const ProcessClock &Clock);

} // namespace banyanpick
