#include "plugins/orders/OrdersPlugin.h"

#include "kernel/PluginRegistry.h"

namespace banyanpick {

void OrdersPlugin::initialize(PluginContext &) {}

void OrdersPlugin::handle(const Event &, Time, Actions &) {}

namespace {

std::vector<SettingDeclaration> settings() { return {}; }

const PluginRegistration
    Registration({"orders",
                  {"fleet", "membership"},
                  settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<OrdersPlugin>();
                  }});

} // namespace

} // namespace banyanpick
