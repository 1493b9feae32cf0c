/// \file
/// Hop-by-hop headers, which apply to one connection only.
#pragma once

#include "base/Time.h"
#include "http/Asio.h"

namespace banyanpick {

/// Removes the headers that must not be forwarded, including those that the
/// Connection header names (RFC 9110, 7.6.1).
void removeHopHeaders(http::fields &Headers);

/// Returns the `timeout=N` parameter of the Keep-Alive header, or zero.
Duration keepAliveTimeout(const http::response_header<> &Head);

} // namespace banyanpick
