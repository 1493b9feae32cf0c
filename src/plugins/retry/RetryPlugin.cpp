#include "plugins/retry/RetryPlugin.h"

#include "kernel/PluginRegistry.h"

namespace banyanpick {

RetryPlugin::RetryPlugin() : Budget(RetryBudgetPolicy()) {}

void RetryPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  RetryBudgetPolicy Policy;
  Policy.Share = Values.fraction("retry", "share");
  Policy.FloorPerSecond = Values.fraction("retry", "floor");
  Policy.Window = Values.span("retry", "window");
  this->Budget = RetryBudget(Policy);
  this->MostTries = Values.whole("retry", "most_tries");
  Context.services().provide<RetryPolicy>(*this);
  Context.services().list<RequestObserver>().add(*this);
}

void RetryPlugin::handle(const Event &, Time, Actions &) {}

bool RetryPlugin::mayRetry(const Request &Asked, std::uint32_t TriesMade,
                           Time Now) {
  if (!Asked.Class.Idempotent)
    return false;
  if (TriesMade >= this->MostTries)
    return false;
  if (Now >= Asked.Deadline)
    return false;
  return this->Budget.spend(Now);
}

void RetryPlugin::admitted(const Request &, Time Now, Actions &) {
  this->Budget.earn(Now);
}

std::vector<SettingDeclaration> RetryPlugin::settings() {
  return {
      {"retry", "share", SettingKind::Fraction, "0.1",
       "Retries allowed for each request admitted lately.", 0, 1},
      {"retry", "floor", SettingKind::Fraction, "1",
       "Retries a second allowed without any traffic.", 0, 1000},
      {"retry", "window", SettingKind::Span, "10s",
       "How long an allowed retry that was not used is kept.", 1e5, 6e8},
      {"retry", "most_tries", SettingKind::Whole, "4",
       "Tries of one request in all, the first included.", 1, 100},
  };
}

namespace {

const PluginRegistration Registration(
    {"retry", {}, RetryPlugin::settings, []() -> std::unique_ptr<Plugin> {
       return std::make_unique<RetryPlugin>();
     }});

} // namespace

} // namespace banyanpick
