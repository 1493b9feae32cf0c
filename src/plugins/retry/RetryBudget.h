/// \file
/// A budget of retries that follows traffic, so that a failing fleet is not
/// stormed (after the retry budget of Finagle).
#pragma once

#include "base/Time.h"

namespace banyanpick {

/// How much may be retried.
struct RetryBudgetPolicy {
  double RetriesPerRequest = 0.1; ///< Retries earned by each admitted request.
  Duration Window = seconds(10);  ///< How long an earned retry can be kept.
  double BurstShare = 0.5;        ///< Part of what runs that one loss may take.
  double MinBurst = 10;           ///< Burst with little running.
  Duration BurstRefill = seconds(60); ///< Until a used burst is whole again.
};

/// Two allowances: a share of recent traffic, which fades with the window, so
/// that a quiet hour does not save up a storm; and a burst, so that all that
/// ran on one lost upstream can be tried again at once, which refills slowly,
/// so that upstreams lost one after another can't repeat it.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetPolicy &Policy) : Policy(Policy) {}

  /// A request was admitted.
  void recordAdmission(Time Now);

  /// Takes one retry while \p Running requests run; false when the budget is
  /// used up.
  bool tryAcquire(std::size_t Running, Time Now);

private:
  void advance(double Burst, Time Now);

  RetryBudgetPolicy Policy;
  double EarnedRetries = 0; ///< From traffic.
  double UsedBurst = 0;     ///< Not refilled yet.
  Time LastUpdate{};
};

} // namespace banyanpick
