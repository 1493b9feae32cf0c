/// \file
/// What control lets the other threads know of itself.
#pragma once

#include <atomic>

namespace banyanpick {

/// Written by the control thread after each event.
struct HostState {
  std::atomic<bool> Ready = false;   ///< A catalogue is known.
  std::atomic<bool> Current = false; ///< It is known to be current.
  std::atomic<bool> Leaving = false; ///< A stop was asked.
};

} // namespace banyanpick
