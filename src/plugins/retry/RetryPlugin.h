/// \file
/// The plug-in that decides whether a failed attempt may be retried.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/retry/RetryBudget.h"

#include <set>

namespace banyanpick {

/// Provides RetryPolicy. A retry must be within the deadline and the budget. A
/// non-idempotent call that may have started is never retried.
class RetryPlugin : public Plugin, public RetryPolicy, public RequestObserver {
public:
  RetryPlugin() : Budget(RetryBudgetPolicy()) {}

  static std::vector<SettingDeclaration> settings();

  // Plugin
  void initialize(PluginContext &Context) override;
  void handle(const Event &, Time, Actions &) override {}

  // RetryPolicy
  bool mayRetry(const Request &Admitted, std::uint32_t AttemptsMade,
                Time Now) override;

  // RequestObserver
  void admitted(const Request &Admitted, Time Now, Actions &Out) override;
  void dispatched(const Request &Admitted, const Attempt &Started, Time Now,
                  Actions &Out) override;
  void attemptEnded(const Request &Admitted, const Attempt &Started,
                    const AttemptOutcome &Outcome, Time Now,
                    Actions &Out) override;
  void ended(const Request &Admitted, const FinalAnswer &Answer, Time Now,
             Actions &Out) override;

private:
  RetryBudget Budget;
  std::set<RequestId> Running;
  /// Non-idempotent requests with an attempt that may have started.
  std::set<RequestId> MayHaveStarted;
};

} // namespace banyanpick
