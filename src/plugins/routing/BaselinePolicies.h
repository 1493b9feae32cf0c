/// \file
/// Well-known policies that the prediction is measured against.
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
/// Fewest running and waiting requests, by report and own count.
struct LeastOutstandingPolicy {};
/// Fewest prefill tokens to do, by report and own count.
struct LeastTokensPolicy {};

using BaselinePolicy = std::variant<RandomPolicy, RoundRobinPolicy,
                                    LeastOutstandingPolicy, LeastTokensPolicy>;

/// The policy of that name, or nothing for `predicted`.
std::optional<BaselinePolicy> findBaseline(std::string_view Name);

/// One of the usable engines (positions in \p Fleet); there is at least one.
std::uint32_t choose(BaselinePolicy &Policy, std::span<const Upstream> Fleet,
                     std::span<const std::uint32_t> Usable, Random &Rng);

} // namespace banyanpick
