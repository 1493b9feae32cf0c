/// \file
/// Runs random scenarios for a given time and prints the seed of each failure:
/// `soak MINUTES SEED`. `soak 0 SEED` runs only that seed and prints its trace.
#include "harness/RandomScenario.h"
#include "harness/ScenarioRunner.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdlib>

namespace {

using namespace banyanpick;

int repeatOne(std::uint64_t Seed) {
  const RandomRunResult Result = runRandomScenario(Seed);
  ScenarioRunner Runner(Result.Scenario);
  Runner.keepTrace();
  Runner.run();
  fmt::print("{}\n{}", Result.Scenario, Runner.trace());
  for (const std::string &Failure : Result.Failures)
    fmt::print("seed {}: {}\n", Seed, Failure);
  return Result.Failures.empty() ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 3) {
    fmt::print(stderr, "usage: soak MINUTES SEED\n");
    return 2;
  }
  const double Minutes = std::strtod(Arguments[1], nullptr);
  std::uint64_t Seed = std::strtoull(Arguments[2], nullptr, 10);
  if (Minutes <= 0)
    return repeatOne(Seed);
  const auto Started = std::chrono::steady_clock::now();
  const std::chrono::duration<double, std::ratio<60>> Span(Minutes);
  std::uint64_t Steps = 0;
  std::uint64_t Runs = 0;
  std::uint64_t Failed = 0;
  for (; std::chrono::steady_clock::now() - Started < Span; ++Seed, ++Runs) {
    const RandomRunResult Result = runRandomScenario(Seed);
    Steps += Result.KernelSteps;
    Failed += Result.Failures.empty() ? 0 : 1;
    for (const std::string &Failure : Result.Failures)
      fmt::print("seed {}: {}\n", Seed, Failure);
  }
  const std::chrono::duration<double, std::ratio<3600>> Took =
      std::chrono::steady_clock::now() - Started;
  fmt::print("soak: runs={} steps={} failed={} steps-an-hour={:.0f}\n", Runs,
             Steps, Failed, static_cast<double>(Steps) / Took.count());
  return Failed == 0 ? 0 : 1;
}
