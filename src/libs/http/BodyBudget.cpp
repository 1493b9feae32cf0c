#include "http/BodyBudget.h"

#include <utility>

namespace banyanpick {

BodyBudget::Reservation::Reservation(Reservation &&Other) noexcept
    : Owner(std::exchange(Other.Owner, nullptr)), Bytes(Other.Bytes) {}

BodyBudget::Reservation &
BodyBudget::Reservation::operator=(Reservation &&Other) noexcept {
  std::swap(this->Owner, Other.Owner);
  std::swap(this->Bytes, Other.Bytes);
  return *this;
}

BodyBudget::Reservation::~Reservation() {
  if (this->Owner)
    this->Owner->Reserved -= this->Bytes;
}

BodyBudget::Reservation BodyBudget::reserve(std::uint64_t Bytes) {
  const std::uint64_t Before = this->Reserved.fetch_add(Bytes);
  if (Before + Bytes <= this->Limit)
    return {*this, Bytes};
  this->Reserved -= Bytes;
  return {};
}

} // namespace banyanpick
