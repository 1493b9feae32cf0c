/// \file
/// Each file of tests/scenarios is a test.
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
  for (const auto &Each :
       std::filesystem::directory_iterator(BANYANPICK_SCENARIOS))
    if (Each.path().extension() == ".scenario")
      Names.push_back(Each.path().stem().string());
  std::sort(Names.begin(), Names.end());
  return Names;
}

class ScenariosTest : public testing::TestWithParam<std::string> {};

TEST_P(ScenariosTest, HoldsEveryPromise) {
  std::ifstream File(std::string(BANYANPICK_SCENARIOS) + "/" + GetParam() +
                     ".scenario");
  const std::string Text{std::istreambuf_iterator<char>(File), {}};
  ScenarioRunner Runner(Text);
  Runner.run();
  for (const std::string &Each : Runner.failures())
    ADD_FAILURE() << Each;
  if (testing::Test::HasFailure())
    std::cerr << "read it with: build/bin/scenario tests/scenarios/"
              << GetParam() << ".scenario\n";
}

INSTANTIATE_TEST_SUITE_P(
    Files, ScenariosTest, testing::ValuesIn(scenarioFiles()),
    [](const testing::TestParamInfo<std::string> &Info) {
      std::string Name = Info.param;
      std::replace_if(
          Name.begin(), Name.end(),
          [](unsigned char Each) { return !std::isalnum(Each); }, '_');
      return Name;
    });

TEST(ScenarioTextTest, NamesTheLineThatIsWrong) {
  try {
    ScenarioRunner("host h1\nat 1s dance h1\n").run();
    FAIL() << "accepted";
  } catch (const Error &Problem) {
    EXPECT_NE(std::string(Problem.what()).find("line 2"), std::string::npos);
  }
}

} // namespace
} // namespace banyanpick
