/// \file
/// Headers that concern one connection only.
#pragma once

#include "http/Asio.h"

namespace banyanpick {

/// Removes the headers that are not passed on, those that the Connection
/// header names among them (RFC 9110, 7.6.1).
void removeHopHeaders(http::fields &Headers);

} // namespace banyanpick
