/// \file
/// Engines that fail are avoided, for longer each time, and come back.
#include "plugins/enginetrust/TrustRecord.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

using Verdict = TrustRecord::Verdict;

const TrustLimits Limits{milliseconds(500), seconds(4), 0.25, 0.2};

Time at(int Ms) { return Time(seconds(100) + milliseconds(Ms)); }

TEST(TrustRecord, ASilentEngineIsAvoidedAtOnce) {
  TrustRecord Record;
  Record.take(Verdict::Silent, 0, Limits, at(0));
  EXPECT_TRUE(Record.isAvoided(at(499)));
  EXPECT_FALSE(Record.isAvoided(at(500)));
}

TEST(TrustRecord, OneLostAnswerIsForgiven) {
  TrustRecord Record;
  Record.take(Verdict::Healthy, 0, Limits, at(0));
  Record.take(Verdict::Broken, 0, Limits, at(10));
  EXPECT_FALSE(Record.isAvoided(at(11)));
  Record.take(Verdict::Broken, 0, Limits, at(20));
  EXPECT_TRUE(Record.isAvoided(at(21)));
}

TEST(TrustRecord, AConnectionClosedInPlaceOfAnAnswerCountsAtOnce) {
  EXPECT_EQ(verdictOf(RelayBroken{}), Verdict::Refused);
  EXPECT_EQ(verdictOf(RelayBroken{RelayBroken::Why::Reset, true, {}}),
            Verdict::Broken);
  TrustRecord Record;
  Record.take(Verdict::Healthy, 0, Limits, at(0));
  Record.take(Verdict::Refused, 0, Limits, at(10));
  EXPECT_TRUE(Record.isAvoided(at(11)));
  EXPECT_EQ(Record.avoidSince(), at(10));
}

TEST(TrustRecord, PausesDoubleUpToTheLongest) {
  TrustRecord Record;
  int Now = 0;
  for (const int Expected : {500, 1000, 2000, 4000, 4000}) {
    Record.take(Verdict::Silent, 0, Limits, at(Now));
    EXPECT_EQ(Record.avoidUntil(), at(Now + Expected));
    Now += Expected;
  }
  Record.take(Verdict::Healthy, 0, Limits, at(Now));
  Record.take(Verdict::Silent, 0, Limits, at(Now));
  EXPECT_EQ(Record.avoidUntil(), at(Now + 500));
}

TEST(TrustRecord, FailuresUsualForTheServiceAreNoReason) {
  TrustRecord Record;
  for (int Each = 0; Each < 70; ++Each) {
    const bool Fails = Each % 7 == 0;
    Record.take(Fails ? Verdict::Failing : Verdict::Healthy, 0.14, Limits,
                at(Each));
    EXPECT_FALSE(Record.isAvoided(at(Each)));
  }
}

TEST(TrustRecord, ManyFailuresBehindAGoodHealthCheckAreNoticed) {
  TrustRecord Record;
  bool Avoided = false;
  for (int Each = 0; Each < 20 && !Avoided; ++Each) {
    Record.take(Each % 2 == 0 ? Verdict::Failing : Verdict::Healthy, 0.05,
                Limits, at(Each));
    Avoided = Record.isAvoided(at(Each));
  }
  EXPECT_TRUE(Avoided);
}

TEST(TrustRecord, AFullEngineIsNotAtFault) {
  EXPECT_EQ(verdictOf(RelayNotRun{}), Verdict::Neutral);
  EXPECT_EQ(verdictOf(RelayFailed{500}), Verdict::Failing);
  EXPECT_EQ(verdictOf(RelayFailed{404}), Verdict::Healthy);
  EXPECT_EQ(verdictOf(RelayNeverSent{}), Verdict::Silent);
}

} // namespace
} // namespace banyanpick
