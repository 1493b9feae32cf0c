#include "plugins/quarantine/QuarantinePlugin.h"

#include "kernel/PluginRegistry.h"

namespace banyanpick {

void QuarantinePlugin::initialize(PluginContext &Context) {
  Context.services().provide<PoisonView>(*this);
  Context.services().provide<QuarantineControl>(*this);
  Context.services().list<AdmissionGate>().add(*this);
  Context.services().list<RequestObserver>().add(*this);
}

void QuarantinePlugin::handle(const Event &, Time, Actions &) {}

bool QuarantinePlugin::isSuspect(const Request &, Time) const { return false; }

bool QuarantinePlugin::isQuarantined(Fingerprint, Time) const { return false; }

void QuarantinePlugin::release(Fingerprint, Time, Actions &) {}

std::optional<NotRun> QuarantinePlugin::check(const Request &, Time) {
  return std::nullopt;
}

namespace {

std::vector<SettingDeclaration> settings() { return {}; }

const PluginRegistration
    Registration({"quarantine", {}, settings, []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<QuarantinePlugin>();
                  }});

} // namespace

} // namespace banyanpick
