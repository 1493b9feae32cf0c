#include "settings/Settings.h"
#include "base/Error.h"
#include "settings/SettingValue.h"
#include "settings/SettingsPage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

using Kind = SettingKind;

std::vector<SettingDeclaration> sampleDeclarations() {
  return {{"a", "wait", Kind::Span, "20ms", "Waits.", 1000, 5e6},
          {"a", "buffer", Kind::Size, "64KB", "Buffers.", 1, 1 << 20},
          {"a", "count", Kind::Whole, "3", "Counts.", 1, 10},
          {"b", "share", Kind::Fraction, "0.5", "Shares.", 0, 1},
          {"b", "on", Kind::Flag, "true", "Switches."},
          {"b", "at", Kind::Address, "", "Listens.", 0, 0, {}, true},
          {"b", "mode", Kind::Choice, "x", "Picks x|y.", 0, 0, {"x", "y"}}};
}

std::vector<SettingsProblem> problemsIn(std::string_view Text) {
  std::vector<SettingsProblem> Problems;
  readSettings(Text, sampleDeclarations(), Problems);
  return Problems;
}

TEST(Settings, ReadsValuesWithTheirUnits) {
  std::vector<SettingsProblem> Problems;
  const Settings Values = readSettings(
      "[a]\nwait = 1.5s\nbuffer = 1KB\n[b]\nat = 10.0.0.1:80\non = false\n",
      sampleDeclarations(), Problems);
  EXPECT_TRUE(Problems.empty());
  EXPECT_EQ(Values.span("a", "wait"), milliseconds(1500));
  EXPECT_EQ(Values.size("a", "buffer"), 1024u);
  EXPECT_EQ(Values.whole("a", "count"), 3u);
  EXPECT_DOUBLE_EQ(Values.fraction("b", "share"), 0.5);
  EXPECT_FALSE(Values.flag("b", "on"));
  EXPECT_EQ(Values.text("b", "at"), "10.0.0.1:80");
  EXPECT_THROW(Values.whole("a", "wait"), Error);
  EXPECT_THROW(Values.text("a", "none"), Error);
}

TEST(Settings, ReportsEachInvalidLine) {
  const std::string RequiredSettings = "[b]\nat = 1.1.1.1:1\n";
  const std::vector<std::pair<std::string, std::string>> Cases{
      {"[a]\nwait = 20\n", "a duration such as 20ms, 1ms to 5s"},
      {"[a]\nwait = 10s\n", "1ms to 5s"},
      {"[a]\nbuffer = 2MB\n", "a size in bytes such as 64KB, 1 to 1MB"},
      {"[a]\ncount = 2.5\n", "a whole number, 1 to 10"},
      {"[a]\ncount = 1e400\n", "a whole number, 1 to 10"},
      {"[b]\nshare = nan\n", "a number, 0 to 1"},
      {"[b]\non = yes\n", "true or false"},
      {"[b]\nmode = z\n", "one of x, y"},
      {"[b]\nat = localhost:80\n", "an address such as"},
      {"[b]\nat = 1.1.1.1:70000\n", "an address such as"},
      {"[a]\nwait = 1s\nwait = 2s\n", "is given twice"},
      {"[a]\nwhat = 1\n", "is not a setting"},
      {"[c]\n", "is not a section of settings"}};
  for (const auto &[Text, Expected] : Cases) {
    const auto Problems = problemsIn(Text + RequiredSettings);
    ASSERT_FALSE(Problems.empty()) << Text;
    EXPECT_NE(Problems[0].Message.find(Expected), std::string::npos)
        << Problems[0].Message;
    EXPECT_GT(Problems[0].Line, 0);
  }
  const auto Missing = problemsIn("[a]\n");
  ASSERT_EQ(Missing.size(), 1u);
  EXPECT_NE(Missing[0].Message.find("is missing; give an address"),
            std::string::npos);
}

RC_GTEST_PROP(Settings, ArbitraryBytesDontCrash, (const std::string &Bytes)) {
  problemsIn(Bytes);
  problemsIn("[a]\nwait = " + Bytes);
  for (const Kind NumberKind :
       {Kind::Whole, Kind::Fraction, Kind::Span, Kind::Size})
    parseNumber(NumberKind, Bytes);
}

TEST(Settings, DefaultsAreValidAndShownOnPage) {
  const std::string Page = settingsPage(sampleDeclarations());
  for (const SettingDeclaration &Declaration : sampleDeclarations()) {
    if (!Declaration.Required) {
      EXPECT_EQ(problemWith(Declaration, Declaration.Default), "");
    }
  }
  EXPECT_NE(Page.find("## [a]"), std::string::npos);
  EXPECT_NE(Page.find("| `wait` | `20ms` | a duration such as 20ms, 1ms to 5s "
                      "| Waits. |"),
            std::string::npos);
  EXPECT_NE(Page.find("| `at` | required |"), std::string::npos);
  EXPECT_NE(Page.find("Picks x\\|y."), std::string::npos);
}

} // namespace
} // namespace banyanpick
