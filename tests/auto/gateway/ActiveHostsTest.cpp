/// \file
/// Checks which hosts are selected to serve callers: enough capacity, the same
/// result on each host, few changes when a host is lost, and an even spread
/// over the zones.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "plugins/activehosts/ActiveHosts.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace banyanpick {
namespace {

ActiveCandidate candidate(std::size_t Number, std::size_t Zone,
                          std::uint32_t Thousandths) {
  return {HostId(fmt::format("h{:03}", Number)),
          ZoneId(fmt::format("z{}", Zone)), ProcessorShare{Thousandths}};
}

/// Hosts in zones of uneven sizes, large and small.
std::vector<ActiveCandidate> randomHosts() {
  std::vector<ActiveCandidate> Result;
  const auto Count = *rc::gen::inRange<std::size_t>(1, 120);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result.push_back(
        candidate(Index, *rc::gen::inRange<std::size_t>(0, 4),
                  *rc::gen::element<std::uint32_t>(120, 250, 500, 1000)));
  return Result;
}

double cores(std::span<const ActiveCandidate> All,
             std::span<const HostId> Chosen) {
  double Sum = 0;
  for (const ActiveCandidate &Candidate : All)
    if (std::ranges::binary_search(Chosen, Candidate.Host))
      Sum += Candidate.Processor.Thousandths / 1000.0;
  return Sum;
}

double largest(std::span<const ActiveCandidate> All) {
  double Result = 0;
  for (const ActiveCandidate &Candidate : All)
    Result = std::max<double>(Result, Candidate.Processor.Thousandths);
  return Result;
}

/// Returns the processor of the largest host that was not chosen, or zero.
double largestLeftOut(std::span<const ActiveCandidate> All,
                      std::span<const HostId> Chosen) {
  std::vector<ActiveCandidate> Others;
  std::ranges::copy_if(
      All, std::back_inserter(Others), [&](const ActiveCandidate &Candidate) {
        return !std::ranges::binary_search(Chosen, Candidate.Host);
      });
  return largest(Others);
}

/// Guards against hundreds of small hosts that each add little capacity, but
/// exchange their requests with all others.
TEST(ActiveHosts, LargeHostsWithMostOfTheCapacityAreEnough) {
  std::vector<ActiveCandidate> All;
  for (std::size_t Index = 0; Index < 500; ++Index)
    All.push_back(candidate(Index, Index % 5, Index < 50 ? 1000 : 120));
  EXPECT_EQ(chooseActive(All, {16, 65}).size(), 50U);
  // Without the hosts of one zone, small ones replace the missing ones.
  std::erase_if(All, [](const ActiveCandidate &Candidate) {
    return Candidate.Zone == ZoneId("z0");
  });
  const auto Chosen = chooseActive(All, {16, 65});
  EXPECT_GE(cores(All, Chosen), 65.0 * 2 / 3);
}

TEST(ActiveHosts, FewHostsAreAllActive) {
  std::vector<ActiveCandidate> All;
  for (std::size_t Index = 0; Index < 7; ++Index)
    All.push_back(candidate(Index, Index % 3, 250));
  EXPECT_EQ(chooseActive(All, {16, 1}).size(), 7U);
}

TEST(ActiveHosts, HostsWithMostProcessorComeFirstInEachZone) {
  std::vector<ActiveCandidate> All;
  for (std::size_t Index = 0; Index < 60; ++Index)
    All.push_back(candidate(Index, Index % 5, Index < 10 ? 500 : 120));
  const auto Chosen = chooseActive(All, {10, 5});
  ASSERT_EQ(Chosen.size(), 10U);
  for (std::size_t Index = 0; Index < 10; ++Index)
    EXPECT_EQ(Chosen[Index], All[Index].Host);
}

RC_GTEST_PROP(ActiveHosts, SelectsRequiredCapacityAndNoMore, ()) {
  const auto All = randomHosts();
  const RequiredCapacity Required{*rc::gen::inRange<std::size_t>(1, 30),
                                  *rc::gen::inRange(0, 20) * 0.5};
  const auto Chosen = chooseActive(All, Required);
  if (Chosen.size() < All.size())
    RC_ASSERT(Chosen.size() >= Required.MinHosts);
  // Hosts under a quarter of the largest may be left out once the selected ones
  // have two thirds of the capacity.
  const double LeftOut = largestLeftOut(All, Chosen);
  if (LeftOut >= largest(All) / 4.0)
    RC_ASSERT(cores(All, Chosen) >= Required.Cores);
  else if (LeftOut > 0)
    RC_ASSERT(cores(All, Chosen) >= Required.Cores * 2 / 3);
  if (Chosen.size() > Required.MinHosts)
    RC_ASSERT(cores(All, Chosen) < Required.Cores + 1.0);
}

RC_GTEST_PROP(ActiveHosts, ResultIsIndependentOfTheOrderOfHosts, ()) {
  auto All = randomHosts();
  const auto Chosen = chooseActive(All, {16, 4});
  std::ranges::reverse(All);
  RC_ASSERT(chooseActive(All, {16, 4}) == Chosen);
}

RC_GTEST_PROP(ActiveHosts, LossOfAHostChangesFewSelections, ()) {
  auto All = randomHosts();
  const auto Before = chooseActive(All, {16, 0});
  const auto Lost = *rc::gen::inRange<std::size_t>(0, All.size());
  All.erase(All.begin() + static_cast<std::ptrdiff_t>(Lost));
  const auto After = chooseActive(All, {16, 0});
  std::vector<HostId> Added;
  std::ranges::set_difference(After, Before, std::back_inserter(Added));
  RC_ASSERT(Added.size() <= 2U);
}

RC_GTEST_PROP(ActiveHosts, SelectionIsEvenAcrossZones, ()) {
  const auto All = randomHosts();
  const auto Chosen = chooseActive(All, {16, 0});
  // Total and selected hosts of each zone.
  std::map<ZoneId, std::pair<std::size_t, std::size_t>> InZone;
  for (const ActiveCandidate &Candidate : All) {
    auto &[Total, Active] = InZone[Candidate.Zone];
    ++Total;
    Active += std::ranges::binary_search(Chosen, Candidate.Host) ? 1 : 0;
  }
  std::size_t MaxActive = 0;
  for (const auto &[Zone, Counts] : InZone)
    MaxActive = std::max(MaxActive, Counts.second);
  for (const auto &[Zone, Counts] : InZone)
    RC_ASSERT(Counts.second + 1 >= MaxActive || Counts.second == Counts.first);
}

} // namespace
} // namespace banyanpick
