/// \file
/// Checks how thousands of engines are divided into parts, so that the engines
/// which a host compares and reports do not grow with the deployment.
#include "plugins/activehosts/EngineParts.h"

#include "kernel/Services.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

namespace banyanpick {
namespace {

std::vector<ActiveCandidate> hosts(std::size_t Count) {
  std::vector<ActiveCandidate> Result;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result.push_back({HostId(fmt::format("h{:03}", Index)),
                      ZoneId(fmt::format("z{}", Index % 3)),
                      ProcessorShare{Index % 6 == 0 ? 500U : 120U}});
  return Result;
}

std::vector<double> processorOf(std::span<const ActiveCandidate> Hosts,
                                std::span<const std::uint32_t> Parts,
                                std::uint32_t Count) {
  std::vector<double> Result(Count, 0);
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    Result[Parts[Index]] += Hosts[Index].Processor.Thousandths;
  return Result;
}

TEST(EngineParts, FewEnginesOrHostsAreNotDivided) {
  EXPECT_EQ(partCount(0, 0), 1U);
  EXPECT_EQ(partCount(118, 295), 1U);
  EXPECT_EQ(partCount(3000, 15), 1U);
}

TEST(EngineParts, PartsGrowWithTheEngines) {
  EXPECT_EQ(partCount(300, 30), 2U);
  EXPECT_EQ(partCount(999, 100), 8U);
  EXPECT_EQ(partCount(3000, 300), 16U);
}

TEST(EngineParts, ShareContainsTheEnginesOfItsParts) {
  EXPECT_TRUE(EngineShare{}.takes(17));
  const EngineShare Half{{false, true}};
  EXPECT_TRUE(Half.takes(17));
  EXPECT_FALSE(Half.takes(18));
}

RC_GTEST_PROP(EngineParts, PartsHaveSimilarProcessor, ()) {
  const auto All = hosts(*rc::gen::inRange<std::size_t>(16, 320));
  const std::uint32_t Count = partCount(100'000, All.size());
  const auto ProcessorPerPart =
      processorOf(All, assignParts(All, Count), Count);
  const double EvenShare =
      std::accumulate(ProcessorPerPart.begin(), ProcessorPerPart.end(), 0.0) /
      Count;
  RC_ASSERT(*std::ranges::min_element(ProcessorPerPart) > 0);
  RC_ASSERT(*std::ranges::max_element(ProcessorPerPart) <= EvenShare * 2);
}

RC_GTEST_PROP(EngineParts, RemovedHostMovesFewOthers, ()) {
  std::vector<ActiveCandidate> All =
      hosts(*rc::gen::inRange<std::size_t>(64, 320));
  const std::uint32_t Count = partCount(100'000, All.size() - 1);
  const auto Before = assignParts(All, Count);
  const auto Removed = *rc::gen::inRange<std::size_t>(0, All.size());
  std::vector<std::uint32_t> Kept = Before;
  All.erase(All.begin() + static_cast<std::ptrdiff_t>(Removed));
  Kept.erase(Kept.begin() + static_cast<std::ptrdiff_t>(Removed));
  const auto After = assignParts(All, Count);
  std::size_t Moved = 0;
  for (std::size_t Index = 0; Index < All.size(); ++Index)
    Moved += After[Index] != Kept[Index] ? 1 : 0;
  RC_ASSERT(Moved * 4 <= All.size());
}

} // namespace
} // namespace banyanpick
