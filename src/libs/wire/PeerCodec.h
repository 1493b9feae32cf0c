/// \file
/// Messages between entry hosts as protobuf bytes.
#pragma once

#include "kernel/PeerMessage.h"

#include <string>
#include <string_view>

namespace banyanpick {

std::string encodePeerMessage(const PeerMessage &Message);

/// Throws Error(BadInput) when the bytes are no message.
PeerMessage decodePeerMessage(std::string_view Bytes);

} // namespace banyanpick
