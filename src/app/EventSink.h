/// \file
/// Where the traffic threads hand in what happened.
#pragma once

#include "kernel/Event.h"

namespace banyanpick {

/// Safe from any thread; returns at once.
class EventSink {
public:
  virtual ~EventSink() = default;
  virtual void send(Event Occurred) = 0;
};

} // namespace banyanpick
