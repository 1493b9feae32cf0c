/// \file
/// The plug-in that orders engines to load and unload models.
#pragma once

#include "kernel/Plugin.h"

namespace banyanpick {

/// Brings the engines to the placement that the catalogue asks for.
class OrdersPlugin : public Plugin {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
};

} // namespace banyanpick
