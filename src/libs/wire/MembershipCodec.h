/// \file
/// Converts messages about the entry hosts to and from protobuf messages.
#pragma once

#include "kernel/PeerMessage.h"

namespace banyanpick::wire {

class Heartbeat;
class MembersAsked;
class MembersRelayed;

void toWire(const banyanpick::Heartbeat &Body, Heartbeat &Out);
void toWire(const banyanpick::MembersRequest &Body, MembersAsked &Out);
void toWire(const banyanpick::MembersRelayed &Body, MembersRelayed &Out);

// These throw Error(BadInput) when a value is out of its range.
banyanpick::Heartbeat fromWire(const Heartbeat &In);
banyanpick::MembersRequest fromWire(const MembersAsked &In);
banyanpick::MembersRelayed fromWire(const MembersRelayed &In);

} // namespace banyanpick::wire
