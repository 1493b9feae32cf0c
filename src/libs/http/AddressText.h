/// \file
/// Converts addresses to endpoints. kernel/AddressText.h converts them to and
/// from text.
#pragma once

#include "http/Asio.h"
#include "kernel/AddressText.h"

namespace banyanpick {

/// Throws Error(BadInput) if the IP address is malformed.
Tcp::endpoint endpointOf(const Address &At);

} // namespace banyanpick
