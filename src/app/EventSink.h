/// \file
/// The interface through which the traffic threads send events to control.
#pragma once

#include "kernel/Event.h"

namespace banyanpick {

/// Receives events. send() is thread-safe and does not block.
class EventSink {
public:
  virtual ~EventSink() = default;
  virtual void send(Event Occurred) = 0;
};

} // namespace banyanpick
