/// \file
/// The end of a host.
#pragma once

#include "app/ProcessClock.h"

#include <cstddef>
#include <functional>
#include <future>
#include <mutex>

namespace banyanpick {

/// Control says that the host may end; the main thread waits for that.
class GracefulShutdown {
public:
  /// May be called again, and from any thread.
  void allow();

  /// Waits until it is allowed, and then at most \p FlushFor until \p Unsent
  /// gives zero answers that are not written yet.
  void wait(const ProcessClock &Clock, Duration FlushFor,
            const std::function<std::size_t()> &Unsent);

private:
  std::promise<void> Allowed;
  std::once_flag Once;
};

} // namespace banyanpick
