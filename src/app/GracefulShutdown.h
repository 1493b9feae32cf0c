/// \file
/// The graceful shutdown of a host.
#pragma once

#include "app/ProcessClock.h"

#include <cstddef>
#include <functional>
#include <future>
#include <mutex>

namespace banyanpick {

/// Control allows the host to exit; the main thread waits for the permission.
class GracefulShutdown {
public:
  /// Permits the exit. Thread-safe; may be called repeatedly.
  void allow();

  /// Waits for the permission, and then until \p Unsent returns zero unwritten
  /// answers, but no longer than \p FlushFor.
  void wait(const ProcessClock &Clock, Duration FlushFor,
            const std::function<std::size_t()> &Unsent);

private:
  std::promise<void> Allowed;
  std::once_flag Once;
};

} // namespace banyanpick
