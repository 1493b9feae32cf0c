#include "plugins/routing/BaselinePolicies.h"

#include "base/Visitor.h"

#include <algorithm>

namespace banyanpick {

namespace {

std::uint64_t outstanding(const Upstream &Engine) {
  const std::uint64_t Reported = Engine.Report.Running + Engine.Report.Queued;
  return std::max<std::uint64_t>(Reported, Engine.OutstandingHere);
}

std::uint64_t pendingPrefillTokens(const Upstream &Engine) {
  return Engine.Report.QueuedPrefillTokens + Engine.UnreportedPrefillTokens;
}

/// Returns the position with the smallest measure. Breaks ties at random.
template <class Measure>
std::uint32_t findLeast(std::span<const Upstream> Fleet,
                        std::span<const std::uint32_t> Usable, Random &Rng,
                        Measure MeasureOf) {
  std::uint32_t Best = Usable.front();
  std::uint64_t BestValue = ~std::uint64_t(0);
  std::uint64_t Ties = 0;
  for (const std::uint32_t Position : Usable) {
    const std::uint64_t Value = MeasureOf(Fleet[Position]);
    Ties = Value == BestValue ? Ties + 1 : 1;
    const bool IsBetter =
        Value < BestValue || (Value == BestValue && Rng.below(Ties) == 0);
    if (!IsBetter) {
      continue;
    }
    Best = Position;
    BestValue = Value;
  }
  return Best;
}

} // namespace

std::optional<BaselinePolicy> findBaseline(std::string_view Name) {
  if (Name == "random")
    return RandomPolicy{};
  if (Name == "round-robin")
    return RoundRobinPolicy{};
  if (Name == "least-outstanding")
    return LeastOutstandingPolicy{};
  if (Name == "least-tokens")
    return LeastTokensPolicy{};
  return std::nullopt;
}

std::uint32_t choose(BaselinePolicy &Policy, std::span<const Upstream> Fleet,
                     std::span<const std::uint32_t> Usable, Random &Rng) {
  return match(
      Policy, [&](RandomPolicy &) { return Usable[Rng.below(Usable.size())]; },
      [&](RoundRobinPolicy &RoundRobin) {
        return Usable[RoundRobin.Next++ % Usable.size()];
      },
      [&](LeastOutstandingPolicy &) {
        return findLeast(Fleet, Usable, Rng, outstanding);
      },
      [&](LeastTokensPolicy &) {
        return findLeast(Fleet, Usable, Rng, pendingPrefillTokens);
      });
}

} // namespace banyanpick
