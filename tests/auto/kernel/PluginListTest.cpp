/// \file
/// The linked plug-ins are exactly the declared ones. Guards against a linker
/// that drops an object file whose only effect is its static registration.
#include "kernel/PluginRegistry.h"
#include "settings/SettingValue.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace banyanpick {
namespace {

TEST(PluginListTest, ExactlyTheDeclaredPluginsAreLinked) {
  const std::set<std::string> Declared = {
      "active_hosts", "admission",     "catalogue",      "claims",
      "crashes",      "departure",     "drain",          "engine_limits",
      "engine_load",  "engine_memory", "engine_reach",   "engine_signals",
      "engine_trust", "engines",       "evacuation",     "fairness",
      "fleet",        "groups",        "host_directory", "limits",
      "log",          "membership",    "operators",      "orders",
      "prefixcache",  "quarantine",    "reclaim",        "regions",
      "relays",       "requests",      "resolve",        "retry",
      "routes",       "routing",       "store_readers"};
  std::set<std::string> Linked;
  for (const PluginDescription &Plugin : registeredPlugins())
    EXPECT_TRUE(Linked.emplace(Plugin.Name).second)
        << Plugin.Name << " is registered twice";
  EXPECT_EQ(Linked, Declared);
}

TEST(PluginListTest, PluginsAreOrderedByDependency) {
  std::set<std::string_view> Before;
  for (const PluginDescription &Plugin : registeredPlugins()) {
    for (const std::string_view Needed : Plugin.Dependencies)
      EXPECT_TRUE(Before.contains(Needed))
          << Plugin.Name << " before " << Needed;
    Before.insert(Plugin.Name);
  }
}

TEST(PluginListTest, AGatewayUsesItsOwnAndTheSharedPlugins) {
  std::set<std::string> Used;
  for (const PluginDescription &Plugin : pluginsFor(ServingMode::Gateway))
    Used.emplace(Plugin.Name);
  EXPECT_EQ(Used, (std::set<std::string>{
                      "active_hosts", "crashes", "departure", "engine_limits",
                      "engine_load", "engine_memory", "engine_reach",
                      "engine_signals", "engine_trust", "engines", "evacuation",
                      "host_directory", "membership", "regions", "relays",
                      "routes", "store_readers"}));
  EXPECT_EQ(pluginsFor(ServingMode::Catalogue).size(), 19U);
}

TEST(PluginListTest, EverySettingHasAValidDefault) {
  for (const SettingDeclaration &Setting : pluginSettings()) {
    EXPECT_FALSE(Setting.Help.empty()) << Setting.Section << "." << Setting.Key;
    if (Setting.Required || Setting.Kind == SettingKind::Text)
      continue;
    EXPECT_EQ(problemWith(Setting, Setting.Default), "")
        << Setting.Section << "." << Setting.Key;
  }
}

} // namespace
} // namespace banyanpick
