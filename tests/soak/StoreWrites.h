/// \file
/// What the operator and the registry write to the store, in order, without
/// holding up the soak while the store hangs.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace banyanpick::soak {

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

  /// Waits until everything added is done.
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
  std::thread Thread; ///< Last: it uses the others.
};

} // namespace banyanpick::soak
