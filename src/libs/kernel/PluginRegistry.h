/// \file
/// The plug-ins linked into the program. They register themselves while the
/// program loads; nothing is added later.
#pragma once

#include "kernel/Plugin.h"

#include <span>

namespace banyanpick {

/// A file-scope object of this type registers a plug-in.
class PluginRegistration {
public:
  explicit PluginRegistration(PluginDescription Description);
};

/// All plug-ins, each after those it depends on, otherwise by name. Throws
/// Error(Internal) when a dependency is missing or in a circle.
std::vector<PluginDescription> registeredPlugins();

/// Those that a kernel serving so is made of, in that order.
std::vector<PluginDescription> pluginsFor(ServingMode Mode);

/// The settings of all plug-ins, in that order.
std::vector<SettingDeclaration> pluginSettings();

} // namespace banyanpick
