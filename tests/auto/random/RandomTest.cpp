/// \file
/// Random scenarios that combine all kinds of faults, also repeatedly.
#include "harness/RandomScenario.h"
#include "harness/ScenarioRunner.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>

namespace rc {

template <> struct Arbitrary<banyanpick::RandomStep> {
  static Gen<banyanpick::RandomStep> arbitrary() {
    using Step = banyanpick::RandomStep;
    const auto Number = gen::inRange<std::uint32_t>(0, 60'000);
    return gen::build<Step>(
        gen::set(&Step::AtMs, Number), gen::set(&Step::Kind, Number),
        gen::set(&Step::Target, Number), gen::set(&Step::Other, Number),
        gen::set(&Step::LengthMs, Number));
  }
};

} // namespace rc

namespace banyanpick {
namespace {

/// RapidCheck shrinks a failing scenario to the fewest steps that break a
/// guarantee.
RC_GTEST_PROP(RandomTest, PromisesHoldUnderAnyFewFaults,
              (const std::vector<RandomStep> &Steps)) {
  const std::string Text = randomScenario(1, Steps);
  ScenarioRunner Runner(Text);
  Runner.run();
  for (const std::string &Failure : Runner.failures())
    RC_FAIL(fmt::format("{}\n{}", Failure, Text));
}

TEST(RandomTest, PromisesHoldUnderManyFaults) {
  constexpr std::uint64_t FirstSeed = 1;
  constexpr std::uint64_t Runs = 40;
  std::uint64_t Steps = 0;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Runs; ++Seed) {
    const RandomRunResult Result = runRandomScenario(Seed);
    Steps += Result.KernelSteps;
    for (const std::string &Failure : Result.Failures)
      ADD_FAILURE() << "seed " << Seed << ": " << Failure;
  }
  std::cout << Steps << " random steps\n";
}

} // namespace
} // namespace banyanpick
