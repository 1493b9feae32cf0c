#include "plugins/engineload/EngineSlowdowns.h"

#include "auto/gateway/GatewayBench.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

const UpstreamId First("e1");
const UpstreamId Second("e2");
const Time Start(seconds(1000));

EngineSlowdowns slowdowns() {
  return EngineSlowdowns({seconds(2), milliseconds(250), seconds(5)});
}

EngineReport report(const UpstreamId &Engine, double Slowdown) {
  EngineReport Result;
  Result.Engine = Engine;
  Result.Slowdown = Slowdown;
  return Result;
}

TEST(EngineSlowdowns, LimitsReportRequestsPerEngineAndOverall) {
  EngineSlowdowns Slowdowns = slowdowns();
  EXPECT_TRUE(Slowdowns.noteLate(First, Start));
  EXPECT_FALSE(Slowdowns.noteLate(Second, Start + milliseconds(100)));
  EXPECT_TRUE(Slowdowns.noteLate(Second, Start + milliseconds(300)));
  EXPECT_FALSE(Slowdowns.noteLate(First, Start + milliseconds(1900)));
  EXPECT_TRUE(Slowdowns.noteLate(First, Start + milliseconds(2000)));
}

TEST(EngineSlowdowns, PollsASlowEngineUntilItRecovers) {
  EngineSlowdowns Slowdowns = slowdowns();
  Slowdowns.noteLate(First, Start);
  EXPECT_TRUE(Slowdowns.takeReport(report(First, 3), Start));
  EXPECT_DOUBLE_EQ(Slowdowns.factorOf(First, Start + seconds(1)), 3);
  EXPECT_EQ(Slowdowns.nextDue(), Start + seconds(2));
  EXPECT_EQ(Slowdowns.due(Start + seconds(2)), std::vector<UpstreamId>{First});
  EXPECT_TRUE(Slowdowns.takeReport(report(First, 1), Start + seconds(2)));
  EXPECT_DOUBLE_EQ(Slowdowns.factorOf(First, Start + seconds(3)), 1);
  EXPECT_EQ(Slowdowns.nextDue(), Never);
}

TEST(EngineSlowdowns, ReportsExpire) {
  EngineSlowdowns Slowdowns = slowdowns();
  Slowdowns.takePeer({First, 4}, Start);
  EXPECT_DOUBLE_EQ(Slowdowns.factorOf(First, Start + seconds(4)), 4);
  EXPECT_DOUBLE_EQ(Slowdowns.factorOf(First, Start + seconds(5)), 1);
  EXPECT_TRUE(Slowdowns.own(Start).empty())
      << "peers receive only this host's own reports";
}

TEST(EngineSlowdowns, ALateFirstTokenRequestsAReportAndASlowEngineIsAvoided) {
  GatewayBench Bench;
  Bench.configure(1);
  Bench.registerEngines("ring", 2);
  constexpr std::uint64_t Tokens = 40'000;
  Bench.arrive("/stream/x", Tokens);
  const DispatchRelay Slow = Bench.last<DispatchRelay>();
  Bench.advance(milliseconds(700));
  Bench.send(GatewayEvent(RelayBegan{Slow.Attempt}));
  ASSERT_EQ(Bench.all<AskReport>().size(), 1U);
  EXPECT_EQ(Bench.last<AskReport>().Engine, Slow.Engine);
  Bench.endAttempt(Slow.Attempt, RelayDelivered{});
  Bench.send(GatewayEvent(EngineReported{report(Slow.Engine, 6)}));
  for (int Index = 0; Index < 5; ++Index) {
    Bench.arrive("/stream/x", Tokens);
    const DispatchRelay Next = Bench.last<DispatchRelay>();
    EXPECT_NE(Next.Engine, Slow.Engine);
    Bench.send(GatewayEvent(RelayBegan{Next.Attempt}));
    Bench.endAttempt(Next.Attempt, RelayDelivered{});
  }
}

} // namespace
} // namespace banyanpick
