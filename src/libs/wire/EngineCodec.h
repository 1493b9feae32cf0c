/// \file
/// Converts messages about engines to and from protobuf messages.
#pragma once

#include "kernel/PeerMessage.h"

namespace banyanpick::wire {

class EnginesRelayed;
class EngineWork;
class EngineLimits;
class EngineSignals;

void toWire(const banyanpick::EnginesRelayed &Body, EnginesRelayed &Out);
void toWire(const banyanpick::EngineWork &Body, EngineWork &Out);
void toWire(const banyanpick::EngineLimits &Body, EngineLimits &Out);
void toWire(const banyanpick::EngineSignals &Body, EngineSignals &Out);

// These throw Error(BadInput) when a value is out of its range.
banyanpick::EnginesRelayed fromWire(const EnginesRelayed &In);
banyanpick::EngineWork fromWire(const EngineWork &In);
banyanpick::EngineLimits fromWire(const EngineLimits &In);
banyanpick::EngineSignals fromWire(const EngineSignals &In);

} // namespace banyanpick::wire
