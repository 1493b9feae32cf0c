/// \file
/// The requests offered to a measured deployment; docs/MEASURING.md explains
/// the mix.
#pragma once

#include "base/Time.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace banyanpick {

/// The deployments of the two users.
struct DeploymentShape {
  std::string Name;
  std::uint32_t Engines = 0;
  std::uint32_t Hosts = 0;
  Duration Far{}; ///< One way between two data centres.
};

/// Prompts are reported by length: at most this many tokens.
inline constexpr std::array<std::uint64_t, 5> LengthBuckets = {
    4'000, 32'000, 100'000, 400'000, 1'000'000};
std::size_t bucketOf(std::uint64_t PromptTokens);

inline constexpr std::uint32_t Teams = 10;
inline constexpr std::uint32_t LargeTeams = 2; ///< The first ones.
inline constexpr std::uint32_t Zones = 3;

struct Arrival {
  Duration At{};
  std::uint32_t Team = 0;
  std::uint32_t Zone = 0;
  std::string Class;
  std::uint64_t PromptTokens = 0;
  std::uint64_t OutputTokens = 0;
  std::uint64_t Content = 0;
  std::uint64_t PrefixContent =
      0; ///< Content whose first blocks it shares; or 0.
  std::uint64_t PrefixTokens = 0;
};

/// Requests a second that just saturate the engines.
double saturation(const DeploymentShape &Shape);

/// Poisson arrivals at \p Load times the saturation. Without the long ones,
/// all others are the same.
std::vector<Arrival> makeWorkload(const DeploymentShape &Shape, double Load,
                                  Duration Length, std::uint64_t Seed,
                                  bool WithLongPrompts);

} // namespace banyanpick
