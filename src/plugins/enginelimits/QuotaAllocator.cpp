#include "plugins/enginelimits/QuotaAllocator.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Time within which a lease can be returned. An older lease is not taken back,
/// because it may have been used.
constexpr seconds ReturnWindow(2);

} // namespace

QuotaAllocator::QuotaAllocator(double PerSecondGiven, Time From)
    : PerSecond(std::max(PerSecondGiven, MinRate)), CountedTo(From) {}

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
  if (Found == this->Granted.end() || Now > Found->GrantedAt + ReturnWindow)
    return;
  this->accrue(Now);
  this->Quota = std::min(this->burst(),
                         this->Quota + std::min(Count, Found->Lease.Count));
  this->Granted.erase(Found);
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
  while (Now >= this->CountedTo && !this->Waiting.empty() && this->Quota >= 1) {
    const Requester First = this->Waiting.front();
    this->Waiting.pop_front();
    const auto Count =
        std::min(First.Count, static_cast<std::uint32_t>(this->Quota));
    this->Quota -= Count;
    Result.push_back({First.Host, First.Number, Count});
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
  return this->CountedTo + this->until(1) + Duration(1);
}

} // namespace banyanpick
