#include "plugins/routing/BaselinePolicies.h"

#include "base/Visitor.h"

#include <algorithm>

namespace banyanpick {

namespace {

std::uint64_t outstanding(const Upstream &Engine) {
  const std::uint64_t Reported = Engine.Report.Running + Engine.Report.Queued;
  return std::max<std::uint64_t>(Reported, Engine.OutstandingHere);
}

std::uint64_t tokensToDo(const Upstream &Engine) {
  return Engine.Report.QueuedPrefillTokens + Engine.UnreportedPrefillTokens;
}

/// The position with the smallest measure; ties by chance.
template <class Measure>
std::uint32_t least(std::span<const Upstream> Fleet,
                    std::span<const std::uint32_t> Usable, Random &Numbers,
                    Measure Of) {
  std::uint32_t Best = Usable.front();
  std::uint64_t BestValue = ~std::uint64_t(0);
  std::uint64_t Ties = 0;
  for (const std::uint32_t Each : Usable) {
    const std::uint64_t Value = Of(Fleet[Each]);
    Ties = Value == BestValue ? Ties + 1 : 1;
    const bool Better =
        Value < BestValue || (Value == BestValue && Numbers.below(Ties) == 0);
    if (!Better) {
      continue;
    }
    Best = Each;
    BestValue = Value;
  }
  return Best;
}

} // namespace

std::optional<BaselinePolicy> baselineNamed(std::string_view Name) {
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
                     std::span<const std::uint32_t> Usable, Random &Numbers) {
  return match(
      Policy,
      [&](RandomPolicy &) { return Usable[Numbers.below(Usable.size())]; },
      [&](RoundRobinPolicy &Turn) {
        return Usable[Turn.Next++ % Usable.size()];
      },
      [&](LeastOutstandingPolicy &) {
        return least(Fleet, Usable, Numbers, outstanding);
      },
      [&](LeastTokensPolicy &) {
        return least(Fleet, Usable, Numbers, tokensToDo);
      });
}

} // namespace banyanpick
