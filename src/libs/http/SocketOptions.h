/// \file
/// Options of all TCP connections.
#pragma once

#include "http/Asio.h"

namespace banyanpick {

/// Sends at once, and gives the connection up when its peer is silent though
/// it should answer: a peer without power or behind a cut answers nothing, and
/// a connection to it would hang for minutes.
void tuneConnection(Tcp::socket &Socket);

} // namespace banyanpick
