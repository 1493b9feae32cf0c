#include "plugins/enginelimits/QuotaAllocator.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Room that was lent earlier is not taken back: its loan may have been used.
constexpr seconds ReturnedWithin(2);

} // namespace

QuotaAllocator::QuotaAllocator(double PerSecondGiven, Time From)
    : PerSecond(std::max(PerSecondGiven, MinRate)), CountedTo(From) {}

double QuotaAllocator::burst() const {
  return std::max(MinBurst, this->PerSecond * inSeconds(BurstTime));
}

void QuotaAllocator::accrue(Time Now) {
  if (Now <= this->CountedTo)
    return;
  this->Room =
      std::min(this->burst(),
               this->Room + this->PerSecond * inSeconds(Now - this->CountedTo));
  this->CountedTo = Now;
}

void QuotaAllocator::setRate(double PerSecondGiven, Time Now) {
  this->accrue(Now);
  this->PerSecond = std::max(PerSecondGiven, MinRate);
  this->Room = std::min(this->Room, this->burst());
}

void QuotaAllocator::request(const HostId &From, std::uint64_t Number,
                             std::uint32_t Count, Time Now) {
  const auto Found = std::ranges::find(this->Waiting, From, &Asker::Host);
  if (Found != this->Waiting.end())
    *Found = {From, Number, Count, Now};
  else
    this->Waiting.push_back({From, Number, Count, Now});
}

void QuotaAllocator::returnUnused(const HostId &From, std::uint64_t Number,
                                  std::uint32_t Count, Time Now) {
  const auto Found =
      std::ranges::find_if(this->Lent, [&](const Outstanding &Each) {
        return Each.Of.To == From && Each.Of.Number == Number;
      });
  if (Found == this->Lent.end() || Now > Found->At + ReturnedWithin)
    return;
  this->accrue(Now);
  this->Room =
      std::min(this->burst(), this->Room + std::min(Count, Found->Of.Count));
  this->Lent.erase(Found);
}

std::vector<QuotaLease> QuotaAllocator::allocate(Time Now) {
  this->accrue(Now);
  std::erase_if(this->Waiting, [&](const Asker &Each) {
    return Now > Each.LastAt + RequestTtl;
  });
  std::erase_if(this->Lent, [&](const Outstanding &Each) {
    return Now > Each.At + ReturnedWithin;
  });
  std::vector<QuotaLease> Result;
  while (Now >= this->CountedTo && !this->Waiting.empty() && this->Room >= 1) {
    const Asker First = this->Waiting.front();
    this->Waiting.pop_front();
    const auto Count =
        std::min(First.Count, static_cast<std::uint32_t>(this->Room));
    this->Room -= Count;
    Result.push_back({First.Host, First.Number, Count});
    this->Lent.push_back({Result.back(), Now});
  }
  return Result;
}

Duration QuotaAllocator::until(double RoomWanted) const {
  return fromSeconds(std::max(0.0, RoomWanted - this->Room) / this->PerSecond);
}

std::optional<Duration> QuotaAllocator::waitOf(const HostId &Host,
                                               Time Now) const {
  const auto Found = std::ranges::find(this->Waiting, Host, &Asker::Host);
  if (Found == this->Waiting.end())
    return std::nullopt;
  const auto Place = static_cast<double>(Found - this->Waiting.begin());
  const Time At = this->CountedTo + this->until(Place + 1);
  return std::max(Duration(0), At - Now);
}

Time QuotaAllocator::nextAllocation() const {
  if (this->Waiting.empty())
    return Never;
  // A moment more, so that rounding does not wake it too early.
  return this->CountedTo + this->until(1) + Duration(1);
}

} // namespace banyanpick
