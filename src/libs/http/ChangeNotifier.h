/// \file
/// Wakes up coroutines that wait for a change of state, on one thread.
#pragma once

#include "http/Asio.h"

namespace banyanpick {

/// A condition variable for coroutines. A waiter checks its condition again
/// whenever wait() returns. Used on the executor's thread only.
class ChangeNotifier {
public:
  explicit ChangeNotifier(const net::any_io_executor &Executor)
      : Timer(Executor, net::steady_timer::time_point::max()) {}

  /// Wakes up all current waiters.
  void notify() { this->Timer.cancel(); }

  Task<void> wait() {
    ErrorCode Ignored;
    co_await this->Timer.async_wait(into(Ignored));
  }

private:
  net::steady_timer Timer;
};

} // namespace banyanpick
