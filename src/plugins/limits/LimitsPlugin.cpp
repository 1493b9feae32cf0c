#include "plugins/limits/LimitsPlugin.h"

#include "kernel/PluginRegistry.h"

namespace banyanpick {

void LimitsPlugin::initialize(PluginContext &Context) {
  Context.services().list<AdmissionGate>().add(*this);
  Context.services().list<RequestObserver>().add(*this);
}

void LimitsPlugin::handle(const Event &, Time, Actions &) {}

std::optional<NotRun> LimitsPlugin::check(const Request &, Time) {
  return std::nullopt;
}

namespace {

std::vector<SettingDeclaration> settings() { return {}; }

const PluginRegistration
    Registration({"limits", {}, settings, []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<LimitsPlugin>();
                  }});

} // namespace

} // namespace banyanpick
