/// \file
/// Converts messages between entry hosts to and from protobuf bytes.
#pragma once

#include "kernel/PeerMessage.h"

#include <string>
#include <string_view>

namespace banyanpick {

std::string encodePeerMessage(const PeerMessage &Message);

/// Throws Error(BadInput) when the bytes are not a valid message.
PeerMessage decodePeerMessage(std::string_view Bytes);

} // namespace banyanpick
