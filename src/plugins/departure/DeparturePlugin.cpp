#include "plugins/departure/DeparturePlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

void DeparturePlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view Section = "departure";
  this->Registry = &Context.services();
  this->LateCallers = Values.span(Section, "late_callers");
  this->Linger = Values.span(Section, "linger");
  this->Grace = Values.span(Section, "grace");
  this->FinalAnswers = Values.span(Section, "final_answers");
  this->CheckInterval = Values.span(Section, "look_interval");
  Context.services().provide<DrainView>(*this);
  Context.services().provide<StopSchedule>(*this);
}

void DeparturePlugin::start(Time, Actions &) {
  this->Running = &this->Registry->get<RelayCount>();
}

void DeparturePlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  match(
      Incoming,
      [&](const StopRequest &) {
        if (!this->isLeaving())
          this->leave(Now, Out);
      },
      [](const auto &) {});
  if (Now >= this->NextCheck)
    this->checkFinished(Now, Out);
}

Time DeparturePlugin::nextWake() const { return this->NextCheck; }

Time DeparturePlugin::finalAnswersAt() const {
  if (!this->isLeaving())
    return Never;
  return this->LeavingSince +
         std::max(this->Grace - this->FinalAnswers, Duration(0));
}

Time DeparturePlugin::lateCallersFrom() const {
  return this->isLeaving() ? this->LeavingSince + this->LateCallers : Never;
}

void DeparturePlugin::leave(Time Now, Actions &Out) {
  this->LeavingSince = Now;
  this->NextCheck = Now;
  Out.add(GatewayAction(CloseCallers{}));
  Out.add(GatewayAction(AnnounceHost{false}));
  Out.log(logEvent(events::DrainBegun)
              .with("running", this->Running->running())
              .build());
}

void DeparturePlugin::checkFinished(Time Now, Actions &Out) {
  this->NextCheck = Now + this->CheckInterval;
  const bool Idle =
      this->Running->running() == 0 && Now >= this->LeavingSince + this->Linger;
  const bool GraceExpired = Now >= this->LeavingSince + this->Grace;
  if (this->Ended || (!Idle && !GraceExpired))
    return;
  this->Ended = true;
  this->NextCheck = Never;
  Out.log(logEvent(events::DrainEnded)
              .with("running", this->Running->running())
              .with("after_us", (Now - this->LeavingSince).count())
              .build());
  Out.add(GatewayAction(StopCallersServer{}));
  Out.add(StopNow{});
}

std::vector<SettingDeclaration> DeparturePlugin::settings() {
  constexpr auto Span = SettingKind::Span;
  const std::string Section = "departure";
  return {
      {Section, "late_callers", Span, "3s",
       "So long after a stop was asked come callers that keep the directory's "
       "answers: three times its ttl. Later ones have no other host; what they "
       "ask is taken only if it ends in time even when answers become slow.",
       0, 600e6},
      {Section, "linger", Span, "3500ms",
       "How long a stopping host goes on taking requests: three times the "
       "directory's ttl, for callers that keep answers long, and a margin.",
       0, 600e6},
      {Section, "grace", Span, "7500ms",
       "After so long a stopping host ends even with requests running; less "
       "than what the operator waits before killing it.",
       0, 3600e6},
      {Section, "final_answers", Span, "300ms",
       "How long before the end of grace the requests that still run get their "
       "final answers, which must be written and read before it.",
       0, 60e6},
      {Section, "look_interval", Span, "50ms",
       "How often a stopping host looks whether it can end.", 1e3, 10e6},
  };
}

namespace {

const PluginRegistration
    Registration({"departure",
                  {},
                  DeparturePlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<DeparturePlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
