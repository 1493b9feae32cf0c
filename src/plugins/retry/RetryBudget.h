/// \file
/// A retry budget that grows with the traffic, so that retries do not overload
/// a failing fleet. It follows the retry budget of Finagle.
#pragma once

#include "base/Time.h"

namespace banyanpick {

/// The limits of a retry budget.
struct RetryBudgetPolicy {
  double RetriesPerRequest = 0.1; ///< Earned by each admitted request.
  Duration Window = seconds(10);  ///< Time constant of earned retries' decay.
  double BurstShare = 0.5;        ///< Burst as a share of the running requests.
  double MinBurst = 10;           ///< Burst when few requests run.
  Duration BurstRefill = seconds(60); ///< Until a used burst is restored.
};

/// Grants retries from two allowances. The first is a share of recent traffic.
/// It decays with the window, so that retries do not accumulate while few are
/// used. The second is a burst, which lets all requests of one lost upstream be
/// retried at once. It refills slowly, so that upstreams that are lost one
/// after another do not cause a burst each.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetPolicy &Policy) : Policy(Policy) {}

  /// Called for each admitted request.
  void recordAdmission(Time Now);

  /// Takes one retry from the budget while \p Running requests run. Returns
  /// false when the budget is used up.
  bool tryAcquire(std::size_t Running, Time Now);

private:
  void advance(double Burst, Time Now);

  RetryBudgetPolicy Policy;
  double EarnedRetries = 0; ///< From recent traffic.
  double UsedBurst = 0;     ///< Part of the burst that is not refilled.
  Time LastUpdate{};
};

} // namespace banyanpick
