/// \file
/// Static registration loses nothing: the plug-ins linked are those declared.
#include "kernel/PluginRegistry.h"
#include "settings/SettingValue.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace banyanpick {
namespace {

TEST(PluginListTest, EveryPlugInIsLinkedAndNoOther) {
  const std::set<std::string> Declared = {
      "active_hosts",  "admission",      "catalogue",
      "claims",        "crashes",        "departure",
      "drain",         "engine_limits",  "engine_load",
      "engine_memory", "engine_signals", "engine_trust",
      "engines",       "fairness",       "fleet",
      "groups",        "host_directory", "limits",
      "log",           "membership",     "operators",
      "orders",        "prefixcache",    "quarantine",
      "reclaim",       "relays",         "requests",
      "resolve",       "retry",          "routes",
      "routing",       "store_readers"};
  std::set<std::string> Linked;
  for (const PluginDescription &Each : registeredPlugins())
    EXPECT_TRUE(Linked.emplace(Each.Name).second)
        << Each.Name << " is registered twice";
  EXPECT_EQ(Linked, Declared);
}

TEST(PluginListTest, EachComesAfterThoseItDependsOn) {
  std::set<std::string_view> Before;
  for (const PluginDescription &Each : registeredPlugins()) {
    for (const std::string_view Needed : Each.Dependencies)
      EXPECT_TRUE(Before.contains(Needed)) << Each.Name << " before " << Needed;
    Before.insert(Each.Name);
  }
}

TEST(PluginListTest, AGatewayIsMadeOfItsOwnPlugInsAndSharedOnes) {
  std::set<std::string> Used;
  for (const PluginDescription &Each : pluginsFor(ServingMode::Gateway))
    Used.emplace(Each.Name);
  EXPECT_EQ(Used, (std::set<std::string>{
                      "active_hosts", "crashes", "departure", "engine_limits",
                      "engine_load", "engine_memory", "engine_signals",
                      "engine_trust", "engines", "host_directory", "membership",
                      "relays", "routes", "store_readers"}));
  EXPECT_EQ(pluginsFor(ServingMode::Catalogue).size(), 19U);
}

TEST(PluginListTest, EverySettingHasAValidDefault) {
  for (const SettingDeclaration &Each : pluginSettings()) {
    EXPECT_FALSE(Each.Help.empty()) << Each.Section << "." << Each.Key;
    if (Each.Required || Each.Kind == SettingKind::Text)
      continue;
    EXPECT_EQ(problemWith(Each, Each.Default), "")
        << Each.Section << "." << Each.Key;
  }
}

} // namespace
} // namespace banyanpick
