/// \file
/// Guards against crashes of engines that are counted late, so that their
/// content crashes further engines, or counted although no engine crashed.
#include "auto/gateway/GatewayBench.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

class CrashDetection : public testing::Test {
protected:
  CrashDetection() {
    this->Bench.configure(1);
    this->Bench.registerEngines("desk", 1);
  }

  /// Sends a request and resets its connection.
  void loseConnection() {
    this->Bench.arrive("/once/1");
    this->end(RelayBroken{RelayBroken::Why::Reset, false, std::nullopt});
  }
  void end(const RelayOutcome &Outcome) {
    this->Bench.endAttempt(this->Bench.last<DispatchRelay>().Attempt, Outcome);
  }
  std::size_t crashes() const {
    return this->Bench.logged(events::ContentCrashed);
  }
  std::size_t reportRequests() const {
    return this->Bench.all<AskReport>().size();
  }

  const UpstreamId Engine{"e1"};
  GatewayBench Bench;
};

TEST_F(CrashDetection, CountsACrashOnceAReportRequestIsRefused) {
  this->loseConnection();
  ASSERT_EQ(this->reportRequests(), 1U);
  EXPECT_EQ(this->Bench.last<AskReport>().Engine, this->Engine);
  EXPECT_EQ(this->crashes(), 0U);
  this->Bench.send(GatewayEvent(EngineReportFailed{this->Engine, true}));
  EXPECT_EQ(this->crashes(), 1U);
}

TEST_F(CrashDetection, CountsNothingIfTheEngineReportsOrIsSilent) {
  this->loseConnection();
  this->Bench.report(this->Engine);
  this->Bench.send(GatewayEvent(EngineReportFailed{this->Engine, false}));
  EXPECT_EQ(this->crashes(), 0U);
}

TEST_F(CrashDetection, CountsACrashOnceAnotherEngineHasTheAddress) {
  this->loseConnection();
  this->Bench.arrive("/once/2");
  RelayNotRun Other;
  Other.OtherEngine = true;
  this->end(Other);
  EXPECT_EQ(this->crashes(), 1U);
}

TEST_F(CrashDetection, AsksAnEngineThatLosesManyConnectionsOnce) {
  for (int Count = 0; Count < 3; ++Count)
    this->loseConnection();
  EXPECT_EQ(this->reportRequests(), 1U);
  this->Bench.advance(milliseconds(300));
  this->loseConnection();
  EXPECT_EQ(this->reportRequests(), 2U);
}

TEST_F(CrashDetection, AsksNoEngineThatRequestedABackoff) {
  this->Bench.arrive("/once/1");
  this->Bench.requestBackoff(this->Engine, seconds(3));
  this->end(RelayBroken{RelayBroken::Why::Reset, false, std::nullopt});
  EXPECT_EQ(this->reportRequests(), 0U);
}

/// Guards against a quarantine of content whose engine has not died.
class UnsentAttempt : public CrashDetection,
                      public testing::WithParamInterface<RelayNeverSent::Why> {
};

TEST_P(UnsentAttempt, CountsACrashOnlyIfTheConnectionIsRefused) {
  this->loseConnection();
  this->Bench.arrive("/once/2");
  this->end(RelayNeverSent{GetParam()});
  EXPECT_EQ(this->crashes(),
            GetParam() == RelayNeverSent::Why::Refused ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(ForEachReason, UnsentAttempt,
                         testing::Values(RelayNeverSent::Why::NotConnected,
                                         RelayNeverSent::Why::Refused,
                                         RelayNeverSent::Why::Withdrawn));

} // namespace
} // namespace banyanpick
