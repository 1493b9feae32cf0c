/// \file
/// A budget of retries that follows recent traffic, so that a failing fleet
/// is not stormed (the retry budget of Finagle).
#pragma once

#include "base/Time.h"

namespace banyanpick {

/// How much may be retried.
struct RetryBudgetPolicy {
  double Share = 0.1;            ///< Retries earned by each first try.
  double FloorPerSecond = 1.0;   ///< Earned without any traffic.
  Duration Window = seconds(10); ///< How long an earned retry can be kept.
};

/// Earned retries. What is earned fades with the window, so that a quiet hour
/// does not save up a storm.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetPolicy &Policy) : Policy(Policy) {}

  /// A request was tried for the first time.
  void earn(Time Now);

  /// Takes one retry; false when the budget is used up.
  bool spend(Time Now);

  /// Retries left.
  double left(Time Now);

private:
  void advance(Time Now);

  RetryBudgetPolicy Policy;
  double Earned = 0; ///< From traffic; fades.
  double Floor = -1; ///< From time; capped. Negative: not started.
  Time Latest{};
};

} // namespace banyanpick
