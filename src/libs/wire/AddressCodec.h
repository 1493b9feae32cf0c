/// \file
/// Converts addresses to and from protobuf messages.
#pragma once

#include "base/StrongId.h"
#include "kernel/Upstream.h"

namespace banyanpick::wire {

class SocketAddress;

void toWire(const Address &Source, SocketAddress &Out);

/// Throws Error(BadInput) when the port is out of range.
Address fromWire(const SocketAddress &In);

} // namespace banyanpick::wire
