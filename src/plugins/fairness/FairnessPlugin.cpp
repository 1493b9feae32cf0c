#include "plugins/fairness/FairnessPlugin.h"

#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

void FairnessPlugin::initialize(PluginContext &Context) {
  Context.services().provide<DispatchQueue>(*this);
}

void FairnessPlugin::handle(const Event &, Time, Actions &) {}

void FairnessPlugin::push(const Request &Added, Time) {
  this->Waiting.push_back(Added.id());
}

void FairnessPlugin::remove(const RequestId &Id) {
  std::erase(this->Waiting, Id);
}

std::vector<RequestId> FairnessPlugin::candidates(std::size_t Most, Time) {
  const std::size_t Count = std::min(Most, this->Waiting.size());
  const auto End = this->Waiting.begin() + static_cast<std::ptrdiff_t>(Count);
  return {this->Waiting.begin(), End};
}

namespace {

std::vector<SettingDeclaration> settings() { return {}; }

const PluginRegistration
    Registration({"fairness", {}, settings, []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<FairnessPlugin>();
                  }});

} // namespace

} // namespace banyanpick
