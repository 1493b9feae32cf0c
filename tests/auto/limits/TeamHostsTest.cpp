/// \file
/// Tests the selection of a team's entry hosts.
#include <gtest/gtest.h>
// GoogleTest comes before its RapidCheck adapter.
#include <rapidcheck/gtest.h>

#include "kernel/TeamHosts.h"

#include <algorithm>
#include <set>

namespace banyanpick {
namespace {

std::vector<TeamHostCandidate> hosts(std::size_t Count, std::size_t Zones) {
  std::vector<TeamHostCandidate> Result;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result.push_back({HostId("host-" + std::to_string(Index)),
                      ZoneId("zone-" + std::to_string(Index % Zones))});
  return Result;
}

TEST(TeamHostsTest, SmallTeamGetsOneHostInEachOfThreeZones) {
  TeamEntry Limits;
  Limits.RequestsPerMinute = 10;
  const auto Chosen = teamHosts(TeamId("house-1"), Limits, hosts(9, 3));
  ASSERT_EQ(Chosen.size(), 3u);
  std::set<int> Zones;
  for (const HostId &Host : Chosen)
    Zones.insert(std::stoi(Host.Value.substr(5)) % 3);
  EXPECT_EQ(Zones.size(), 3u);
}

TEST(TeamHostsTest, HostCountFollowsTheLargestLimit) {
  TeamEntry Limits;
  EXPECT_EQ(teamHostCount(Limits, 320), 320u);
  Limits.RequestsPerMinute = 3000;
  EXPECT_EQ(teamHostCount(Limits, 320), 10u);
  Limits.Concurrent = 640;
  EXPECT_EQ(teamHostCount(Limits, 320), 20u);
  EXPECT_EQ(teamHostCount(Limits, 2), 2u);
}

RC_GTEST_PROP(TeamHostsTest, ChoiceIgnoresHostOrder, ()) {
  auto Candidates = hosts(*rc::gen::inRange<std::size_t>(0, 30), 4);
  TeamEntry Limits;
  Limits.RequestsPerMinute = *rc::gen::inRange(1, 5000);
  const TeamId Team(*rc::gen::nonEmpty<std::string>());
  const auto Before = teamHosts(Team, Limits, Candidates);
  std::reverse(Candidates.begin(), Candidates.end());
  RC_ASSERT(teamHosts(Team, Limits, Candidates) == Before);
}

RC_GTEST_PROP(TeamHostsTest, LostHostIsReplacedWithoutMovingTheOthers, ()) {
  auto Candidates = hosts(*rc::gen::inRange<std::size_t>(5, 30), 1);
  TeamEntry Limits;
  Limits.RequestsPerMinute = *rc::gen::inRange(1, 1200);
  const TeamId Team(*rc::gen::nonEmpty<std::string>());
  auto Before = teamHosts(Team, Limits, Candidates);
  const HostId Lost = Before[*rc::gen::inRange<std::size_t>(0, Before.size())];
  std::erase_if(Candidates,
                [&](const auto &Item) { return Item.Host == Lost; });
  std::erase(Before, Lost);
  const auto After = teamHosts(Team, Limits, Candidates);
  for (const HostId &Kept : Before)
    RC_ASSERT(std::find(After.begin(), After.end(), Kept) != After.end());
}

} // namespace
} // namespace banyanpick
