/// \file
/// Runs one scenario and prints what the entry hosts logged: `scenario FILE`.
#include "base/Error.h"
#include "harness/ScenarioRunner.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

int main(int Count, char **Words) {
  if (Count != 2) {
    fmt::print(stderr, "usage: scenario FILE\n");
    return 2;
  }
  std::ifstream File(Words[1]);
  const std::string Text{std::istreambuf_iterator<char>(File), {}};
  try {
    banyanpick::ScenarioRunner Runner(Text);
    Runner.keepTrace();
    Runner.run();
    fmt::print("{}", Runner.trace());
    for (const std::string &Each : Runner.failures())
      fmt::print("failed: {}\n", Each);
    return Runner.failures().empty() ? 0 : 1;
  } catch (const banyanpick::Error &Problem) {
    fmt::print(stderr, "{}: {}\n", Words[1], Problem.what());
    return 2;
  }
}
