/// \file
/// A queue of writes by the operator and the registry to the store. A store
/// that hangs does not block the soak.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace banyanpick::soak {

/// Runs writes in order on its own thread. The destructor completes all writes.
class StoreWrites {
public:
  StoreWrites() : Thread([this] { this->run(); }) {}
  ~StoreWrites() {
    {
      const std::lock_guard Lock(this->Mutex);
      this->Stopping = true;
    }
    this->Changed.notify_all();
    this->Thread.join();
  }
  StoreWrites(const StoreWrites &) = delete;
  StoreWrites &operator=(const StoreWrites &) = delete;

  void add(std::function<void()> Write) {
    {
      const std::lock_guard Lock(this->Mutex);
      this->Queue.push_back(std::move(Write));
    }
    this->Changed.notify_all();
  }

  /// Waits until all added writes are done.
  void waitUntilDone() {
    std::unique_lock Lock(this->Mutex);
    this->Changed.wait(Lock,
                       [this] { return this->Queue.empty() && !this->Busy; });
  }

private:
  void run() {
    std::unique_lock Lock(this->Mutex);
    for (;;) {
      this->Changed.wait(
          Lock, [this] { return this->Stopping || !this->Queue.empty(); });
      if (this->Queue.empty())
        return;
      const std::function<void()> Next = std::move(this->Queue.front());
      this->Queue.pop_front();
      this->Busy = true;
      Lock.unlock();
      Next();
      Lock.lock();
      this->Busy = false;
      this->Changed.notify_all();
    }
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<std::function<void()>> Queue;
  bool Busy = false;
  bool Stopping = false;
  std::thread Thread; ///< Last, because it uses the other members.
};

} // namespace banyanpick::soak
