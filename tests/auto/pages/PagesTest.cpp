/// \file
/// Holds pages of docs/ and the code together.
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

TEST(SettingsPage, IsTheOneMadeFromTheDeclarations) {
  EXPECT_EQ(readFile("docs/SETTINGS.md"),
            settingsPage(daemonSettingDeclarations()))
      << "make it again: banyanpickd --settings_page > docs/SETTINGS.md";
}

TEST(CataloguePage, IsTheOneMadeFromTheFields) {
  EXPECT_EQ(readFile("docs/CATALOGUE.md"), cataloguePage())
      << "make it again: banyanpick fields > docs/CATALOGUE.md";
}

std::vector<std::smatch> findMatches(const std::string &Text,
                                     const std::regex &Wanted) {
  return {std::sregex_iterator(Text.begin(), Text.end(), Wanted), {}};
}

/// `100 info started` for each kind of event that the header declares.
std::multiset<std::string> declaredEvents() {
  const std::string Header = readFile("src/libs/base/EventNumbers.h");
  const std::regex Declaration(
      R"RE(EventKind\s+\w+\{\s*(\d+),\s*LogLevel::(\w+),\s*"([^"]*)"\s*\})RE");
  std::multiset<std::string> Result;
  for (const std::smatch &Each : findMatches(Header, Declaration)) {
    std::string Level = Each[2];
    Level[0] = static_cast<char>(std::tolower(Level[0]));
    Result.insert(Each[1].str() + " " + Level + " " + Each[3].str());
  }
  const std::regex AnyDeclaration(R"(constexpr EventKind)");
  EXPECT_EQ(Result.size(), findMatches(Header, AnyDeclaration).size())
      << "a declaration in EventNumbers.h has another form";
  return Result;
}

/// The same for each row of the page; rows without a meaning are left out.
std::multiset<std::string> documentedEvents() {
  const std::string Page = readFile("docs/EVENTS.md");
  const std::regex Row(
      R"(\n\| (\d+) \| (\w+) \| ([^|]*) \| [^|\n]{10,} \|(?=\n))");
  std::multiset<std::string> Result;
  for (const std::smatch &Each : findMatches(Page, Row))
    Result.insert(Each[1].str() + " " + Each[2].str() + " " + Each[3].str());
  return Result;
}

TEST(EventsPage, HasEachEventOnceAndNoOther) {
  EXPECT_EQ(documentedEvents(), declaredEvents())
      << "add a row to docs/EVENTS.md for each event of EventNumbers.h";
  std::set<std::string> Numbers;
  for (const std::string &Each : declaredEvents())
    EXPECT_TRUE(Numbers.insert(Each.substr(0, Each.find(' '))).second) << Each;
}

} // namespace
} // namespace banyanpick
