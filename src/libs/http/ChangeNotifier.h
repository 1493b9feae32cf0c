/// \file
/// Wakes coroutines that wait for something to change, on one thread.
#pragma once

#include "http/Asio.h"

namespace banyanpick {

/// All members are used on the executor's thread only. Waiters look again at
/// what they wait for whenever wait() returns.
class ChangeNotifier {
public:
  explicit ChangeNotifier(const net::any_io_executor &Executor)
      : Timer(Executor, net::steady_timer::time_point::max()) {}

  /// Wakes everybody who waits now.
  void notify() { this->Timer.cancel(); }

  Task<void> wait() {
    ErrorCode Ignored;
    co_await this->Timer.async_wait(into(Ignored));
  }

private:
  net::steady_timer Timer;
};

} // namespace banyanpick
