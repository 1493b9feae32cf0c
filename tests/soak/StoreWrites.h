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
  StoreWrites() : Worker([this] { this->work(); }) {}
  ~StoreWrites() {
    {
      const std::lock_guard Lock(this->Guard);
      this->Ends = true;
    }
    this->Changed.notify_all();
    this->Worker.join();
  }
  StoreWrites(const StoreWrites &) = delete;
  StoreWrites &operator=(const StoreWrites &) = delete;

  void add(std::function<void()> Write) {
    {
      const std::lock_guard Lock(this->Guard);
      this->Waiting.push_back(std::move(Write));
    }
    this->Changed.notify_all();
  }

  /// Waits until everything added is done.
  void waitUntilDone() {
    std::unique_lock Lock(this->Guard);
    this->Changed.wait(Lock,
                       [this] { return this->Waiting.empty() && !this->Busy; });
  }

private:
  void work() {
    std::unique_lock Lock(this->Guard);
    for (;;) {
      this->Changed.wait(
          Lock, [this] { return this->Ends || !this->Waiting.empty(); });
      if (this->Waiting.empty())
        return;
      const std::function<void()> Next = std::move(this->Waiting.front());
      this->Waiting.pop_front();
      this->Busy = true;
      Lock.unlock();
      Next();
      Lock.lock();
      this->Busy = false;
      this->Changed.notify_all();
    }
  }

  std::mutex Guard;
  std::condition_variable Changed;
  std::deque<std::function<void()>> Waiting;
  bool Busy = false;
  bool Ends = false;
  std::thread Worker; ///< Last: it uses the others.
};

} // namespace banyanpick::soak
