/// \file
/// One bound on the bytes of all request bodies held at once.
#pragma once

#include <atomic>
#include <cstdint>

namespace banyanpick {

/// Safe from any thread.
class BodyBudget {
public:
  explicit BodyBudget(std::uint64_t Limit) : Limit(Limit) {}

  /// A part of the budget, given back when it is destroyed.
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

  /// An empty share when so many bytes are not left.
  Reservation reserve(std::uint64_t Bytes);

  std::uint64_t reservedBytes() const { return this->Reserved.load(); }

private:
  const std::uint64_t Limit;
  std::atomic<std::uint64_t> Reserved = 0;
};

} // namespace banyanpick
