/// \file
/// Standard policies, as a baseline for measurements of the prediction.
#pragma once

#include "base/Random.h"
#include "kernel/Services.h"

#include <optional>
#include <span>
#include <string_view>
#include <variant>

namespace banyanpick {

struct RandomPolicy {};
struct RoundRobinPolicy {
  std::uint64_t Next = 0;
};
/// Fewest running and waiting requests, by load report and own count.
struct LeastOutstandingPolicy {};
/// Fewest pending prefill tokens, by load report and own count.
struct LeastTokensPolicy {};

using BaselinePolicy = std::variant<RandomPolicy, RoundRobinPolicy,
                                    LeastOutstandingPolicy, LeastTokensPolicy>;

/// Returns the policy with this name, or nothing for `predicted`.
std::optional<BaselinePolicy> findBaseline(std::string_view Name);

/// Chooses one of the usable engines. \p Usable contains positions in \p Fleet
/// and is not empty.
std::uint32_t choose(BaselinePolicy &Policy, std::span<const Upstream> Fleet,
                     std::span<const std::uint32_t> Usable, Random &Rng);

} // namespace banyanpick
