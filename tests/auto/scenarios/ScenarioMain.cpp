/// \file
/// Runs one scenario and prints the log of the entry hosts: `scenario FILE`.
#include "base/Error.h"
#include "harness/ScenarioRunner.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

int main(int Count, char **Arguments) {
  if (Count != 2) {
    fmt::print(stderr, "usage: scenario FILE\n");
    return 2;
  }
  std::ifstream File(Arguments[1]);
  const std::string Text{std::istreambuf_iterator<char>(File), {}};
  try {
    banyanpick::ScenarioRunner Runner(Text);
    Runner.keepTrace();
    Runner.run();
    fmt::print("{}", Runner.trace());
    for (const std::string &Failure : Runner.failures())
      fmt::print("failed: {}\n", Failure);
    return Runner.failures().empty() ? 0 : 1;
  } catch (const banyanpick::Error &Problem) {
    fmt::print(stderr, "{}: {}\n", Arguments[1], Problem.what());
    return 2;
  }
}
