/// \file
/// Scenarios made from random numbers: load, re-sends and every fault at
/// random moments, overlapping and twice.
#pragma once

#include "base/Random.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace banyanpick {

/// One random step; its numbers are reduced to what there is when it is put
/// into words, so that any numbers make a valid scenario.
struct RandomStep {
  std::uint32_t AtMs = 0;
  std::uint32_t Kind = 0;
  std::uint32_t Target = 0;
  std::uint32_t Other = 0;
  std::uint32_t LengthMs = 0;
};

/// Steps over \p LengthMs milliseconds of virtual time.
std::vector<RandomStep> randomSteps(Random &Rng, std::size_t Count,
                                    std::uint32_t LengthMs);

/// The steps as the text of a scenario, with a deployment around them.
std::string randomScenario(std::uint64_t Seed,
                           std::span<const RandomStep> Steps);

/// What came of one random scenario.
struct RandomRunResult {
  std::uint64_t KernelSteps = 0;
  std::vector<std::string> Failures;
  std::string Scenario;
};

/// Makes and runs the scenario of the seed.
RandomRunResult runRandomScenario(std::uint64_t Seed);

} // namespace banyanpick
