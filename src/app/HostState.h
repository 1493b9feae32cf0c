/// \file
/// The state of control that other threads may read.
#pragma once

#include <atomic>

namespace banyanpick {

/// Written by the control thread after each event.
struct HostState {
  std::atomic<bool> Ready = false;   ///< A catalogue is known.
  std::atomic<bool> Current = false; ///< The catalogue is known to be current.
  std::atomic<bool> Leaving = false; ///< A stop was requested.
};

} // namespace banyanpick
