/// \file
/// Addresses as endpoints; as text see kernel/AddressText.h.
#pragma once

#include "http/Asio.h"
#include "kernel/AddressText.h"

namespace banyanpick {

/// Throws Error(BadInput) when the IP number is malformed.
Tcp::endpoint endpointOf(const Address &At);

} // namespace banyanpick
