/// \file
/// Limits how many requests are sent to a service more than once.
#pragma once

#include "gateway/Configuration.h"

#include <deque>
#include <map>

namespace banyanpick {

/// The retry budget of all hosts together.
struct RetryBudgetLimits {
  double Ratio = 0;    ///< Retries per request, in any window.
  double Constant = 0; ///< Additional retries per window, over all hosts.
  Duration Window{};
};

/// Enforces this host's part of the retry budget with a sliding window over its
/// requests and retries, for each service. The constant part of the budget is
/// divided among the hosts. The part that is proportional to requests needs no
/// coordination: if every host keeps it, the sum over all hosts does too.
///
/// A process does not know what an earlier one of its host used. It withholds
/// the constant part for a window, until that use no longer counts.
class RetryAllowance {
public:
  RetryAllowance() = default;
  explicit RetryAllowance(RetryBudgetLimits Limits) : Limits(Limits) {}

  void recordRequest(const ServiceId &Service, Time Now);
  /// Takes one retry from the budget; returns false when none is left.
  /// \p Share is this host's share of the constant part.
  bool tryAcquire(const ServiceId &Service, double Share, Time Now);
  /// Returns a retry that did not reach the service.
  void refund(const ServiceId &Service, Time Now);
  /// Called at the start of a process that may have had a predecessor.
  void withholdConstant(Time Now) {
    this->ConstantFrom = Now + this->Limits.Window;
  }
  void setLimits(RetryBudgetLimits NewLimits) { this->Limits = NewLimits; }

private:
  struct Slice {
    Time From{};
    double Requests = 0;
    double Retries = 0;
  };

  Slice &current(const ServiceId &Service, Time Now);

  RetryBudgetLimits Limits;
  Time ConstantFrom{}; ///< When the constant part may be used.
  std::map<ServiceId, std::deque<Slice>> Slices;
};

} // namespace banyanpick
