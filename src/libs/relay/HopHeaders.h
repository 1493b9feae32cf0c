/// \file
/// Hop-by-hop headers, which apply to one connection only.
#pragma once

#include "http/Asio.h"

namespace banyanpick {

/// Removes the headers that must not be forwarded, including those that the
/// Connection header names (RFC 9110, 7.6.1).
void removeHopHeaders(http::fields &Headers);

} // namespace banyanpick
