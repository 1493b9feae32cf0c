#include "plugins/retry/RetryPlugin.h"

#include "kernel/PluginRegistry.h"

namespace banyanpick {

namespace {

constexpr std::string_view Section = "retry";

} // namespace

void RetryPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  RetryBudgetPolicy Policy;
  Policy.Share = Values.fraction(Section, "share");
  Policy.Window = Values.span(Section, "window");
  Policy.BurstShare = Values.fraction(Section, "burst_share");
  Policy.LeastBurst = Values.fraction(Section, "least_burst");
  Policy.BurstRefill = Values.span(Section, "burst_refill");
  this->Budget = RetryBudget(Policy);
  Context.services().provide<RetryPolicy>(*this);
  Context.services().list<RequestObserver>().add(*this);
}

bool RetryPlugin::mayRetry(const Request &Asked, std::uint32_t, Time Now) {
  if (this->MayHaveStarted.contains(Asked.id()))
    return false;
  if (Now >= Asked.Deadline)
    return false;
  return this->Budget.spend(this->Running.size(), Now);
}

void RetryPlugin::admitted(const Request &Asked, Time Now, Actions &) {
  this->Running.insert(Asked.id());
  this->Budget.earn(Now);
}

void RetryPlugin::dispatched(const Request &Asked, const Attempt &, Time,
                             Actions &) {
  if (!Asked.Class.Idempotent)
    this->MayHaveStarted.insert(Asked.id());
}

void RetryPlugin::attemptEnded(const Request &Asked, const Attempt &,
                               const AttemptOutcome &Outcome, Time, Actions &) {
  const bool SurelyNotStarted =
      std::holds_alternative<AttemptRefused>(Outcome) ||
      std::holds_alternative<AttemptNeverSent>(Outcome);
  if (SurelyNotStarted)
    this->MayHaveStarted.erase(Asked.id());
}

void RetryPlugin::ended(const Request &Asked, const FinalAnswer &, Time,
                        Actions &) {
  this->Running.erase(Asked.id());
  this->MayHaveStarted.erase(Asked.id());
}

std::vector<SettingDeclaration> RetryPlugin::settings() {
  const std::string In(Section);
  return {
      {In, "share", SettingKind::Fraction, "0.1",
       "Retries allowed for each request admitted lately.", 0, 1},
      {In, "window", SettingKind::Span, "10s",
       "How long an allowed retry that was not used is kept.", 1e5, 600e6},
      {In, "burst_share", SettingKind::Fraction, "0.5",
       "Part of the running requests that may be tried again at once when an "
       "upstream is lost.",
       0, 1},
      {In, "least_burst", SettingKind::Fraction, "10",
       "Retries allowed at once however little runs.", 0, 10000},
      {In, "burst_refill", SettingKind::Span, "1min",
       "How long it takes until retries at once are allowed in full again.",
       1e6, 3600e6},
  };
}

namespace {

const PluginRegistration Registration(
    {"retry", {}, RetryPlugin::settings, []() -> std::unique_ptr<Plugin> {
       return std::make_unique<RetryPlugin>();
     }});

} // namespace

} // namespace banyanpick
