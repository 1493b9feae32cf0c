#include "plugins/relays/RetryAllowance.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Number of slices in a window. A retry leaves the window at most one slice
/// late.
constexpr int SlicesPerWindow = 20;

/// Share of the budget that is used. The remainder covers retries that are in
/// transit while the window slides.
constexpr double UsableShare = 0.9;

} // namespace

RetryAllowance::Slice &RetryAllowance::current(const ServiceId &Service,
                                               Time Now) {
  std::deque<Slice> &All = this->Slices[Service];
  const Duration Length = this->Limits.Window / SlicesPerWindow;
  // Keeps one slice more than the window, so that the sum is never too small.
  while (!All.empty() && All.front().From + this->Limits.Window + Length < Now)
    All.pop_front();
  if (All.empty() || Now >= All.back().From + Length)
    All.push_back({Now, 0, 0});
  return All.back();
}

void RetryAllowance::recordRequest(const ServiceId &Service, Time Now) {
  ++this->current(Service, Now).Requests;
}

bool RetryAllowance::tryAcquire(const ServiceId &Service, double Share,
                                Time Now) {
  Slice &Latest = this->current(Service, Now);
  double Requests = 0;
  double Retries = 0;
  for (const Slice &Part : this->Slices[Service]) {
    Requests += Part.Requests;
    Retries += Part.Retries;
  }
  const bool IsWithheld = Now < this->ConstantFrom;
  const double Constant =
      IsWithheld ? 0 : this->Limits.Constant * UsableShare * Share;
  if (Retries + 1 > this->Limits.Ratio * UsableShare * Requests + Constant)
    return false;
  ++Latest.Retries;
  return true;
}

void RetryAllowance::refund(const ServiceId &Service, Time Now) {
  Slice &Latest = this->current(Service, Now);
  --Latest.Retries;
}

} // namespace banyanpick
