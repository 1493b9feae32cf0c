/// \file
/// The event queue that drives virtual time.
#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <tuple>
#include <vector>

namespace banyanpick {

/// Runs callbacks in the order of their due times, and in the order of
/// insertion where due times are equal.
class EventQueue {
public:
  using Work = std::function<void()>;

  explicit EventQueue(Time Start) : Clock(Start) {}

  Time now() const { return this->Clock; }

  void at(Time When, Work Callback) {
    this->Items.push_back({std::max(When, this->Clock), this->NextSequence++,
                           std::move(Callback)});
    std::push_heap(this->Items.begin(), this->Items.end(), later);
  }
  void after(Duration Delay, Work Callback) {
    this->at(this->Clock + Delay, std::move(Callback));
  }

  /// Runs all callbacks due by \p Until and sets the clock to \p Until.
  void runUntil(Time Until) {
    while (!this->Items.empty() && this->Items.front().When <= Until) {
      std::pop_heap(this->Items.begin(), this->Items.end(), later);
      Item Next = std::move(this->Items.back());
      this->Items.pop_back();
      this->Clock = Next.When;
      Next.Callback();
    }
    this->Clock = std::max(this->Clock, Until);
  }

private:
  struct Item {
    Time When;
    std::uint64_t Sequence;
    Work Callback;
  };
  static bool later(const Item &First, const Item &Second) {
    return std::tie(First.When, First.Sequence) >
           std::tie(Second.When, Second.Sequence);
  }

  Time Clock;
  std::uint64_t NextSequence = 0;
  std::vector<Item> Items;
};

} // namespace banyanpick
