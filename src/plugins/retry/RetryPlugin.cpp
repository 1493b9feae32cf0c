#include "plugins/retry/RetryPlugin.h"

#include "kernel/PluginRegistry.h"

namespace banyanpick {

namespace {

constexpr std::string_view Section = "retry";

} // namespace

void RetryPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  RetryBudgetPolicy Policy;
  Policy.RetriesPerRequest = Values.fraction(Section, "share");
  Policy.Window = Values.span(Section, "window");
  Policy.BurstShare = Values.fraction(Section, "burst_share");
  Policy.MinBurst = Values.fraction(Section, "least_burst");
  Policy.BurstRefill = Values.span(Section, "burst_refill");
  this->Budget = RetryBudget(Policy);
  Context.services().provide<RetryPolicy>(*this);
  Context.services().list<RequestObserver>().add(*this);
}

bool RetryPlugin::mayRetry(const Request &Admitted, std::uint32_t, Time Now) {
  if (this->MayHaveStarted.contains(Admitted.id()))
    return false;
  if (Now >= Admitted.Deadline)
    return false;
  return this->Budget.tryAcquire(this->Running.size(), Now);
}

void RetryPlugin::admitted(const Request &Admitted, Time Now, Actions &) {
  this->Running.insert(Admitted.id());
  this->Budget.recordAdmission(Now);
}

void RetryPlugin::dispatched(const Request &Admitted, const Attempt &, Time,
                             Actions &) {
  if (!Admitted.Class.Idempotent)
    this->MayHaveStarted.insert(Admitted.id());
}

void RetryPlugin::attemptEnded(const Request &Admitted, const Attempt &,
                               const AttemptOutcome &Outcome, Time, Actions &) {
  const bool CertainlyNotStarted =
      std::holds_alternative<AttemptRefused>(Outcome) ||
      std::holds_alternative<AttemptNeverSent>(Outcome);
  if (CertainlyNotStarted)
    this->MayHaveStarted.erase(Admitted.id());
}

void RetryPlugin::ended(const Request &Admitted, const FinalAnswer &, Time,
                        Actions &) {
  this->Running.erase(Admitted.id());
  this->MayHaveStarted.erase(Admitted.id());
}

std::vector<SettingDeclaration> RetryPlugin::settings() {
  const std::string SectionName(Section);
  return {
      {SectionName, "share", SettingKind::Fraction, "0.1",
       "Retries allowed for each request admitted lately.", 0, 1},
      {SectionName, "window", SettingKind::Span, "10s",
       "How long an allowed retry that was not used is kept.", 1e5, 600e6},
      {SectionName, "burst_share", SettingKind::Fraction, "0.5",
       "Part of the running requests that may be tried again at once when an "
       "upstream is lost.",
       0, 1},
      {SectionName, "least_burst", SettingKind::Fraction, "10",
       "Retries allowed at once however little runs.", 0, 10000},
      {SectionName, "burst_refill", SettingKind::Span, "1min",
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
