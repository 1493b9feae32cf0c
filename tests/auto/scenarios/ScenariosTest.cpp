/// \file
/// Runs each file of tests/scenarios as a test.
#include "base/Error.h"
#include "harness/ScenarioRunner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace banyanpick {
namespace {

std::vector<std::string> scenarioFiles() {
  std::vector<std::string> Names;
  for (const auto &File :
       std::filesystem::directory_iterator(BANYANPICK_SCENARIOS))
    if (File.path().extension() == ".scenario")
      Names.push_back(File.path().stem().string());
  std::sort(Names.begin(), Names.end());
  return Names;
}

class ScenariosTest : public testing::TestWithParam<std::string> {};

TEST_P(ScenariosTest, KeepsAllGuarantees) {
  std::ifstream File(std::string(BANYANPICK_SCENARIOS) + "/" + GetParam() +
                     ".scenario");
  const std::string Text{std::istreambuf_iterator<char>(File), {}};
  ScenarioRunner Runner(Text);
  Runner.run();
  for (const std::string &Failure : Runner.failures())
    ADD_FAILURE() << Failure;
  if (testing::Test::HasFailure())
    std::cerr << "print its log with: build/bin/scenario tests/scenarios/"
              << GetParam() << ".scenario\n";
}

INSTANTIATE_TEST_SUITE_P(Files, ScenariosTest,
                         testing::ValuesIn(scenarioFiles()),
                         [](const testing::TestParamInfo<std::string> &Info) {
                           std::string Name = Info.param;
                           std::replace_if(
                               Name.begin(), Name.end(),
                               [](unsigned char Character) {
                                 return !std::isalnum(Character);
                               },
                               '_');
                           return Name;
                         });

TEST(ScenarioTextTest, ReportsTheLineOfASyntaxError) {
  try {
    ScenarioRunner("host h1\nat 1s dance h1\n").run();
    FAIL() << "accepted";
  } catch (const Error &Problem) {
    EXPECT_NE(std::string(Problem.what()).find("line 2"), std::string::npos);
  }
}

} // namespace
} // namespace banyanpick
