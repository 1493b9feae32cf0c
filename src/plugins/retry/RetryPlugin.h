/// \file
/// The plug-in that decides whether a failed try may be repeated.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/retry/RetryBudget.h"

namespace banyanpick {

/// Provides RetryPolicy: within the deadline, within the budget, and never
/// for a non-idempotent call.
class RetryPlugin : public Plugin, public RetryPolicy, public RequestObserver {
public:
  RetryPlugin();

  static std::vector<SettingDeclaration> settings();

  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;

  bool mayRetry(const Request &Asked, std::uint32_t TriesMade,
                Time Now) override;
  void admitted(const Request &Asked, Time Now, Actions &Out) override;

private:
  RetryBudget Budget;
  std::uint64_t MostTries = 0;
};

} // namespace banyanpick
