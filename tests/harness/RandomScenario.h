/// \file
/// Generates scenarios from random numbers: load, resent requests and all kinds
/// of faults at random times. Faults may overlap and repeat.
#pragma once

#include "base/Random.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace banyanpick {

/// One random step. Its numbers are reduced to the valid ranges when the step
/// is written as text, so any numbers give a valid scenario.
struct RandomStep {
  std::uint32_t AtMs = 0;
  std::uint32_t Kind = 0;
  std::uint32_t Target = 0;
  std::uint32_t Other = 0;
  std::uint32_t LengthMs = 0;
};

/// Returns \p Count steps within \p LengthMs milliseconds of virtual time.
std::vector<RandomStep> randomSteps(Random &Rng, std::size_t Count,
                                    std::uint32_t LengthMs);

/// Returns the text of a scenario with a fixed deployment and the steps.
std::string randomScenario(std::uint64_t Seed,
                           std::span<const RandomStep> Steps);

/// The result of one random scenario.
struct RandomRunResult {
  std::uint64_t KernelSteps = 0;
  std::vector<std::string> Failures;
  std::string Scenario;
};

/// Generates the scenario of the seed and runs it.
RandomRunResult runRandomScenario(std::uint64_t Seed);

} // namespace banyanpick
