#include "plugins/drain/DrainPlugin.h"

#include "kernel/PluginRegistry.h"

namespace banyanpick {

namespace {

constexpr Duration LookInterval = milliseconds(100);
constexpr Duration ComeBackAfter = milliseconds(100);

} // namespace

void DrainPlugin::initialize(PluginContext &Context) {
  this->Offered = &Context.services();
  this->Grace = Context.settings().span("resolve", "ttl") +
                Context.settings().span("drain", "slack");
  Context.services().provide<DrainView>(*this);
  Context.services().list<AdmissionGate>().add(*this);
}

void DrainPlugin::start(Time, Actions &) {
  this->Requests = &this->Offered->get<RequestTable>();
}

void DrainPlugin::handle(const Event &What, Time Now, Actions &Out) {
  if (std::holds_alternative<StopAsked>(What) && !this->Leaving) {
    this->Leaving = true;
    this->RefuseFrom = Now + this->Grace;
  }
  if (!this->Leaving || this->Stopped)
    return;
  this->NextLook = Now + LookInterval;
  if (Now < this->RefuseFrom || this->Requests->running() != 0)
    return;
  this->Stopped = true;
  this->NextLook = Never;
  Out.add(StopNow{});
}

Time DrainPlugin::nextWake() const { return this->NextLook; }

std::optional<NotRun> DrainPlugin::check(const Request &, Time Now) {
  if (Now < this->RefuseFrom)
    return std::nullopt;
  return NotRun{RefusalReason::Leaving, ComeBackAfter,
                "this host is stopping; ask resolve for another"};
}

namespace {

std::vector<SettingDeclaration> settings() {
  return {{"drain", "slack", SettingKind::Span, "1s",
           "How much longer than a resolve answer's time to live a stopping "
           "host takes new work.",
           0, 60e6}};
}

const PluginRegistration Registration({"drain",
                                       {"membership", "resolve"},
                                       settings,
                                       []() -> std::unique_ptr<Plugin> {
                                         return std::make_unique<DrainPlugin>();
                                       }});

} // namespace

} // namespace banyanpick
