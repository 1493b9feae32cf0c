/// \file
/// Socket options of all TCP connections.
#pragma once

#include "http/Asio.h"

namespace banyanpick {

/// Disables the delay of small packets and sets timeouts that close the
/// connection when the peer does not respond. A peer without power or behind a
/// network partition sends nothing, and a connection to it would otherwise hang
/// for minutes.
void tuneConnection(Tcp::socket &Socket);

} // namespace banyanpick
