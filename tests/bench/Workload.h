/// \file
/// The requests sent to a measured deployment. docs/MEASURING.md explains the
/// mix.
#pragma once

#include "base/Time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace banyanpick {

/// The size of the deployment of one of the two users.
struct DeploymentShape {
  std::string Name;
  std::uint32_t Engines = 0;
  std::uint32_t Hosts = 0;
  Duration Far{}; ///< One-way delay between data centres.
};

/// Upper bounds in tokens of the prompt lengths by which results are reported.
inline constexpr std::array<std::uint64_t, 5> LengthBuckets = {
    4'000, 32'000, 100'000, 400'000, 1'000'000};
std::size_t bucketOf(std::uint64_t PromptTokens);

inline constexpr std::uint32_t Teams = 10;
inline constexpr std::uint32_t LargeTeams = 2; ///< The first ones.
inline constexpr std::uint32_t Zones = 3;

/// One request of the workload.
struct Arrival {
  Duration At{};
  std::uint32_t Team = 0;
  std::uint32_t Zone = 0;
  std::string Class;
  std::uint64_t PromptTokens = 0;
  std::uint64_t OutputTokens = 0;
  std::uint64_t Content = 0;
  /// Content whose first blocks the prompt shares, or 0.
  std::uint64_t PrefixContent = 0;
  std::uint64_t PrefixTokens = 0;
};

/// Returns the requests per second that just saturate the engines.
double saturation(const DeploymentShape &Shape);

/// Returns Poisson arrivals at \p Load times the saturation. The longest
/// prompts are left out unless \p WithLongPrompts is set; all other arrivals
/// are the same in both cases.
std::vector<Arrival> makeWorkload(const DeploymentShape &Shape, double Load,
                                  Duration Length, std::uint64_t Seed,
                                  bool WithLongPrompts);

} // namespace banyanpick
