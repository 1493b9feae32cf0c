/// \file
/// Socket options of all TCP connections.
#pragma once

#include "http/Asio.h"

namespace banyanpick {

/// Sets the options of a connection to a server. Disables the delay of small
/// packets and sets timeouts that close the connection when the peer does not
/// respond. A peer without power or behind a network partition sends nothing,
/// and a connection to it would otherwise hang for minutes.
void tuneServerConnection(Tcp::socket &Socket);

/// Sets the options of a connection from a caller: the same, but without a
/// limit on unacknowledged bytes. Linux applies that also to a peer that
/// responds and has no space to receive more, so a caller that pauses would
/// lose its answer. How long a caller may take to read is the matter of the
/// server's timeouts.
void tuneCallerConnection(Tcp::socket &Socket);

} // namespace banyanpick
