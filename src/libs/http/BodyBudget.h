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
  class Share {
  public:
    Share() = default;
    Share(Share &&Other) noexcept;
    Share &operator=(Share &&Other) noexcept;
    ~Share();

    explicit operator bool() const { return this->Owner != nullptr; }

  private:
    friend class BodyBudget;
    Share(BodyBudget &Owner, std::uint64_t Bytes)
        : Owner(&Owner), Bytes(Bytes) {}

    BodyBudget *Owner = nullptr;
    std::uint64_t Bytes = 0;
  };

  /// An empty share when so many bytes are not left.
  Share take(std::uint64_t Bytes);

  std::uint64_t taken() const { return this->Taken.load(); }

private:
  const std::uint64_t Limit;
  std::atomic<std::uint64_t> Taken = 0;
};

} // namespace banyanpick
