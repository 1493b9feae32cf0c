/// \file
/// The plug-ins linked into the program. They register themselves during static
/// initialization; none are added later.
#pragma once

#include "kernel/Plugin.h"

#include <span>

namespace banyanpick {

/// Registers a plug-in. Instantiated at file scope.
class PluginRegistration {
public:
  explicit PluginRegistration(PluginDescription Description);
};

/// Returns all plug-ins in dependency order, otherwise ordered by name. Throws
/// Error(Internal) if a dependency is missing or circular.
std::vector<PluginDescription> registeredPlugins();

/// Returns the plug-ins of a kernel in this serving mode, in the same order.
std::vector<PluginDescription> pluginsFor(ServingMode Mode);

/// Returns the settings of all plug-ins, in the same order.
std::vector<SettingDeclaration> pluginSettings();

} // namespace banyanpick
