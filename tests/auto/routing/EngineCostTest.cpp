/// \file
/// Tests predictions from delayed load reports and the selection of engines
/// that are open to long prompts.
#include "plugins/routing/EngineCost.h"
#include "plugins/routing/LongPromptPool.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr Time Now = Time(seconds(1000));

class EngineCostTest : public testing::Test {
protected:
  EngineCostTest() {
    this->Engine.Listing.Id = UpstreamId("e");
    this->Engine.Report.MeasuredAt = Now;
    this->Engine.Report.PrefillTokensPerSecond = 10'000;
    this->Engine.Report.MemoryTokens = 100'000;
    this->Engine.Report.FreeMemoryTokens = 100'000;
    this->Engine.Report.QueuedPrefillTokens = 30'000;
    this->Engine.Report.Backlog = {{180, 10'000}, {40, 20'000}};
  }
  EngineEstimate estimate(std::uint32_t Priority, Time When = Now) const {
    EngineDemand Demand;
    Demand.Priority = Priority;
    Demand.UncachedTokens = 10'000;
    Demand.MemoryTokens = 50'000;
    return EngineCost(this->Values, this->Tracker, this->Zone)
        .estimate(this->Engine, Demand, When);
  }

  RoutingSettings Values;
  SentWorkTracker Tracker;
  ZoneId Zone;
  Upstream Engine;
};

TEST_F(EngineCostTest, CountsTokensAheadAtItsPriority) {
  EXPECT_EQ(this->estimate(180).FirstToken, seconds(2));
  EXPECT_EQ(this->estimate(40).FirstToken, seconds(4));
  this->Engine.Report.Backlog.clear();
  EXPECT_EQ(this->estimate(180).FirstToken, seconds(4));
}

TEST_F(EngineCostTest, CombinesReportWithItsAgeAndOwnWork) {
  this->Tracker.sent(UpstreamId("e"),
                     {AttemptId{}, Now + seconds(1), 180, 40'000, 60'000});
  EXPECT_EQ(this->estimate(180, Now + seconds(1)).FirstToken, seconds(5));
  EXPECT_FALSE(this->estimate(180, Now + seconds(1)).HasMemory);
  this->Tracker.firstToken(UpstreamId("e"), AttemptId{});
  EXPECT_EQ(this->estimate(180, Now + seconds(1)).FirstToken, seconds(1));
}

TEST(LongPromptPool, FollowsDemandAndKeepsSomeEnginesClosed) {
  LongPromptPool Pool;
  Pool.addDemand(true, 50'000, Now);
  Pool.addDemand(false, 50'000, Now);
  const std::uint32_t Open = Pool.countOpen(16);
  EXPECT_EQ(Open, 10U);
  Pool.addDemand(false, 5'000, Now);
  EXPECT_EQ(Pool.countOpen(16), Open) << "a small change has no effect";
  Pool.addDemand(true, 10'000'000, Now);
  EXPECT_EQ(Pool.countOpen(16), 12U);
  EXPECT_EQ(Pool.countOpen(2), 1U);
}

} // namespace
} // namespace banyanpick
