#include "plugins/enginelimits/QuotaAllocator.h"

#include <algorithm>

namespace banyanpick {

QuotaAllocator::QuotaAllocator(double PerSecondGiven, Time From,
                               std::optional<GrantBound> BoundGiven)
    : PerSecond(std::max(PerSecondGiven, MinRate)), CountedTo(From),
      Bound(BoundGiven) {}

double QuotaAllocator::burst() const {
  return std::max(MinBurst, this->PerSecond * inSeconds(BurstTime));
}

void QuotaAllocator::accrue(Time Now) {
  if (Now <= this->CountedTo)
    return;
  this->Quota = std::min(this->burst(),
                         this->Quota + this->PerSecond *
                                           inSeconds(Now - this->CountedTo));
  this->CountedTo = Now;
}

void QuotaAllocator::setRate(double PerSecondGiven, Time Now) {
  this->accrue(Now);
  this->PerSecond = std::max(PerSecondGiven, MinRate);
  this->Quota = std::min(this->Quota, this->burst());
}

void QuotaAllocator::request(const HostId &From, std::uint64_t Number,
                             std::uint32_t Count, Time Now) {
  const auto Found = std::ranges::find(this->Waiting, From, &Requester::Host);
  if (Found != this->Waiting.end())
    *Found = {From, Number, Count, Now};
  else
    this->Waiting.push_back({From, Number, Count, Now});
}

void QuotaAllocator::returnUnused(const HostId &From, std::uint64_t Number,
                                  std::uint32_t Count, Time Now) {
  const auto Found =
      std::ranges::find_if(this->Granted, [&](const Outstanding &Grant) {
        return Grant.Lease.To == From && Grant.Lease.Number == Number;
      });
  if (Found == this->Granted.end() || Found->Returned ||
      Now > Found->GrantedAt + ReturnWindow)
    return;
  this->accrue(Now);
  const std::uint32_t Returned = std::min(Count, Found->Lease.Count);
  this->Quota = std::min(this->burst(), this->Quota + Returned);
  // The used part still counts towards the bound.
  Found->Lease.Count -= Returned;
  Found->Returned = true;
}

bool QuotaAllocator::isWithinBound(const Outstanding &Grant, Time Now) const {
  return Grant.Lease.Count > 0 && Now <= Grant.GrantedAt + this->Bound->Length;
}

double QuotaAllocator::available(Time Now) const {
  if (!this->Bound)
    return this->Quota;
  double Leased = 0;
  for (const Outstanding &Grant : this->Granted)
    if (this->isWithinBound(Grant, Now))
      Leased += Grant.Lease.Count;
  return std::min(this->Quota, this->Bound->MaxRequests - Leased);
}

std::vector<QuotaLease> QuotaAllocator::allocate(Time Now) {
  this->accrue(Now);
  std::erase_if(this->Waiting, [&](const Requester &Waiter) {
    return Now > Waiter.LastRequestAt + RequestTtl;
  });
  std::erase_if(this->Granted, [&](const Outstanding &Grant) {
    return Now > Grant.GrantedAt + ReturnWindow;
  });
  std::vector<QuotaLease> Result;
  while (Now >= this->CountedTo && !this->Waiting.empty()) {
    const double Available = this->available(Now);
    if (Available < 1)
      break;
    const Requester First = this->Waiting.front();
    this->Waiting.pop_front();
    const auto Count =
        std::min(First.Count, static_cast<std::uint32_t>(Available));
    this->Quota -= Count;
    Result.push_back(
        {First.Host, First.Number, Count, Now - First.LastRequestAt});
    this->Granted.push_back({Result.back(), Now});
  }
  return Result;
}

Duration QuotaAllocator::until(double Amount) const {
  return fromSeconds(std::max(0.0, Amount - this->Quota) / this->PerSecond);
}

std::optional<Duration> QuotaAllocator::waitOf(const HostId &Host,
                                               Time Now) const {
  const auto Found = std::ranges::find(this->Waiting, Host, &Requester::Host);
  if (Found == this->Waiting.end())
    return std::nullopt;
  const auto Position = static_cast<double>(Found - this->Waiting.begin());
  const Time FreeAt = this->CountedTo + this->until(Position + 1);
  return std::max(Duration(0), FreeAt - Now);
}

Time QuotaAllocator::nextAllocation() const {
  if (this->Waiting.empty())
    return Never;
  // One tick more, so that rounding does not wake the host too early.
  Time Result = this->CountedTo + this->until(1) + Duration(1);
  if (!this->Bound || this->Quota < 1)
    return Result;
  // Leases beyond the bound wait until the earliest one has left its window.
  if (this->available(this->CountedTo) >= 1)
    return Result;
  for (const Outstanding &Grant : this->Granted)
    if (this->isWithinBound(Grant, this->CountedTo))
      return std::max(Result,
                      Grant.GrantedAt + this->Bound->Length + Duration(1));
  return Never;
}

} // namespace banyanpick
