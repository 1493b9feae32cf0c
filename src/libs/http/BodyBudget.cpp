#include "http/BodyBudget.h"

#include <utility>

namespace banyanpick {

BodyBudget::Share::Share(Share &&Other) noexcept
    : Owner(std::exchange(Other.Owner, nullptr)), Bytes(Other.Bytes) {}

BodyBudget::Share &BodyBudget::Share::operator=(Share &&Other) noexcept {
  std::swap(this->Owner, Other.Owner);
  std::swap(this->Bytes, Other.Bytes);
  return *this;
}

BodyBudget::Share::~Share() {
  if (this->Owner)
    this->Owner->Taken -= this->Bytes;
}

BodyBudget::Share BodyBudget::take(std::uint64_t Bytes) {
  const std::uint64_t Before = this->Taken.fetch_add(Bytes);
  if (Before + Bytes <= this->Limit)
    return {*this, Bytes};
  this->Taken -= Bytes;
  return {};
}

} // namespace banyanpick
