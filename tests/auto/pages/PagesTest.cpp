/// \file
/// Tests that the generated pages of docs/ match the code.
#include "app/TrafficSettings.h"
#include "catalogue/CataloguePage.h"
#include "settings/SettingsPage.h"

#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <regex>
#include <set>

namespace banyanpick {
namespace {

std::string readFile(const std::string &Name) {
  std::ifstream File(std::string(BANYANPICK_SOURCES) + "/" + Name);
  return {std::istreambuf_iterator<char>(File),
          std::istreambuf_iterator<char>()};
}

TEST(SettingsPage, MatchesTheDeclarations) {
  EXPECT_EQ(readFile("docs/SETTINGS.md"),
            settingsPage(daemonSettingDeclarations()))
      << "regenerate it with: banyanpickd --settings_page > docs/SETTINGS.md";
}

TEST(CataloguePage, MatchesTheFields) {
  EXPECT_EQ(readFile("docs/CATALOGUE.md"), cataloguePage())
      << "regenerate it with: banyanpick fields > docs/CATALOGUE.md";
}

std::vector<std::smatch> findMatches(const std::string &Text,
                                     const std::regex &Wanted) {
  return {std::sregex_iterator(Text.begin(), Text.end(), Wanted), {}};
}

/// Returns `100 info started` and the like for each kind of event that
/// EventNumbers.h declares.
std::multiset<std::string> declaredEvents() {
  const std::string Header = readFile("src/libs/base/EventNumbers.h");
  const std::regex Declaration(
      R"RE(EventKind\s+\w+\{\s*(\d+),\s*LogLevel::(\w+),\s*"([^"]*)"\s*\})RE");
  std::multiset<std::string> Result;
  for (const std::smatch &Match : findMatches(Header, Declaration)) {
    std::string Level = Match[2];
    Level[0] = static_cast<char>(std::tolower(Level[0]));
    Result.insert(Match[1].str() + " " + Level + " " + Match[3].str());
  }
  const std::regex AnyDeclaration(R"(constexpr EventKind)");
  EXPECT_EQ(Result.size(), findMatches(Header, AnyDeclaration).size())
      << "a declaration in EventNumbers.h doesn't have the expected form";
  return Result;
}

/// Returns the same for each row of docs/EVENTS.md. Skips rows without a
/// description.
std::multiset<std::string> documentedEvents() {
  const std::string Page = readFile("docs/EVENTS.md");
  const std::regex Row(
      R"(\n\| (\d+) \| (\w+) \| ([^|]*) \| [^|\n]{10,} \|(?=\n))");
  std::multiset<std::string> Result;
  for (const std::smatch &Match : findMatches(Page, Row))
    Result.insert(Match[1].str() + " " + Match[2].str() + " " + Match[3].str());
  return Result;
}

TEST(EventsPage, ListsEachDeclaredEventOnce) {
  EXPECT_EQ(documentedEvents(), declaredEvents())
      << "add a row to docs/EVENTS.md for each event of EventNumbers.h";
  std::set<std::string> Numbers;
  for (const std::string &Event : declaredEvents())
    EXPECT_TRUE(Numbers.insert(Event.substr(0, Event.find(' '))).second)
        << Event;
}

} // namespace
} // namespace banyanpick
