/// \file
/// Tests that the settings template fits the declared settings.
#include "app/TrafficSettings.h"
#include "settings/SettingValue.h"

#include <algorithm>
#include <fstream>
#include <gtest/gtest.h>
#include <regex>

namespace banyanpick {
namespace {

/// A line of the template whose value is one of the platform's bounds, followed
/// by a unit.
struct BoundLine {
  std::string Section;
  std::string Key;
  std::string Suffix;
};

std::vector<BoundLine> boundLines() {
  std::ifstream File(std::string(BANYANPICK_SOURCES) +
                     "/platform/settings.ini.template");
  const std::regex SectionLine(R"(\[(\w+)\])");
  const std::regex ValueLine(R"((\w+) = \{\{Bounds\.\w+\}\}(\w*))");
  std::vector<BoundLine> Result;
  std::string Section;
  for (std::string Line; std::getline(File, Line);) {
    std::smatch Match;
    if (std::regex_match(Line, Match, SectionLine))
      Section = Match[1];
    else if (std::regex_match(Line, Match, ValueLine))
      Result.push_back({Section, Match[1], Match[2]});
  }
  return Result;
}

/// Guards against a bound with a fraction that keeps every process from
/// starting.
TEST(SettingsTemplate, SettingsFromBoundsTakeFractions) {
  const std::vector<BoundLine> Lines = boundLines();
  EXPECT_GE(Lines.size(), 5U);
  const std::vector<SettingDeclaration> All = daemonSettingDeclarations();
  for (const BoundLine &Line : Lines) {
    SCOPED_TRACE(Line.Section + " " + Line.Key);
    const auto Found =
        std::ranges::find_if(All, [&](const SettingDeclaration &Declared) {
          return Declared.Section == Line.Section && Declared.Key == Line.Key;
        });
    ASSERT_NE(Found, All.end()) << "not a setting";
    for (const std::string Number : {"34", "34.73684210526316", "0"})
      EXPECT_TRUE(parseNumber(Found->Kind, Number + Line.Suffix)) << Number;
  }
}

} // namespace
} // namespace banyanpick
