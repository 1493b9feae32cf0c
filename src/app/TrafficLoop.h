/// \file
/// The event loop of a traffic thread.
#pragma once

#include "app/ProcessClock.h"
#include "http/Asio.h"

namespace banyanpick {

/// Runs until the context is stopped. An exception of a handler is logged and
/// ends that handler only; the other connections of the thread continue.
void runTrafficLoop(net::io_context &Io, const ProcessClock &Clock);

/// Logs the exception of a handler or task of a traffic thread as a broken
/// invariant.
void logTrafficException(std::string_view What, Time Now);

} // namespace banyanpick
