/// \file
/// How many requests a service may get more than once.
#pragma once

#include "gateway/Configuration.h"

#include <deque>
#include <map>

namespace banyanpick {

/// The budget of all hosts, and this host's part of it.
struct RetryBudgetLimits {
  double Ratio = 0;    ///< Repeats against requests, in any window.
  double Constant = 0; ///< More repeats in a window, over all hosts.
  Duration Window{};
};

/// A sliding window over this host's requests and repeats, for each service.
/// The constant part is divided among hosts; the share that grows with
/// requests needs no agreement, as the sum over hosts keeps it.
class RetryAllowance {
public:
  RetryAllowance() = default;
  explicit RetryAllowance(RetryBudgetLimits Limits) : Limits(Limits) {}

  void recordRequest(const ServiceId &Service, Time Now);
  /// Takes one repeat when there is one; \p Share of the constant part is this
  /// host's.
  bool tryAcquire(const ServiceId &Service, double Share, Time Now);
  /// The repeat did not reach the service.
  void refund(const ServiceId &Service, Time Now);
  void setLimits(RetryBudgetLimits NewLimits) { this->Limits = NewLimits; }

private:
  struct Slice {
    Time From{};
    double Requests = 0;
    double Repeats = 0;
  };

  Slice &current(const ServiceId &Service, Time Now);

  RetryBudgetLimits Limits;
  std::map<ServiceId, std::deque<Slice>> Slices;
};

} // namespace banyanpick
