/// \file
/// Limits the total size of the request bodies held in memory at once.
#pragma once

#include <atomic>
#include <cstdint>

namespace banyanpick {

/// Tracks the bytes reserved for request bodies. Thread-safe.
class BodyBudget {
public:
  explicit BodyBudget(std::uint64_t Limit) : Limit(Limit) {}

  /// A reserved part of the budget, which the destructor releases.
  class Reservation {
  public:
    Reservation() = default;
    Reservation(Reservation &&Other) noexcept;
    Reservation &operator=(Reservation &&Other) noexcept;
    ~Reservation();

    explicit operator bool() const { return this->Owner != nullptr; }

  private:
    friend class BodyBudget;
    Reservation(BodyBudget &Owner, std::uint64_t Bytes)
        : Owner(&Owner), Bytes(Bytes) {}

    BodyBudget *Owner = nullptr;
    std::uint64_t Bytes = 0;
  };

  /// Returns an empty reservation if fewer than \p Bytes are available.
  Reservation reserve(std::uint64_t Bytes);

  std::uint64_t reservedBytes() const { return this->Reserved.load(); }

private:
  const std::uint64_t Limit;
  std::atomic<std::uint64_t> Reserved = 0;
};

} // namespace banyanpick
