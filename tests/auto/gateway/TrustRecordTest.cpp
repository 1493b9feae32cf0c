/// \file
/// Tests that failing engines are ejected for increasing times and return
/// afterwards.
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

TEST(TrustRecord, ASingleLostAnswerIsTolerated) {
  TrustRecord Record;
  Record.take(Verdict::Healthy, 0, Limits, at(0));
  Record.take(Verdict::Broken, 0, Limits, at(10));
  EXPECT_FALSE(Record.isAvoided(at(11)));
  Record.take(Verdict::Broken, 0, Limits, at(20));
  EXPECT_TRUE(Record.isAvoided(at(21)));
}

TEST(TrustRecord, AConnectionClosedWithoutAnAnswerCountsAtOnce) {
  EXPECT_EQ(verdictOf(RelayBroken{}), Verdict::Refused);
  EXPECT_EQ(verdictOf(RelayBroken{RelayBroken::Why::Reset, true, {}}),
            Verdict::Broken);
  TrustRecord Record;
  Record.take(Verdict::Healthy, 0, Limits, at(0));
  Record.take(Verdict::Refused, 0, Limits, at(10));
  EXPECT_TRUE(Record.isAvoided(at(11)));
  EXPECT_EQ(Record.avoidSince(), at(10));
}

TEST(TrustRecord, EjectionTimesDoubleUpToTheMaximum) {
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

TEST(TrustRecord, FailuresUsualForTheServiceAreTolerated) {
  TrustRecord Record;
  for (int Index = 0; Index < 70; ++Index) {
    const bool Fails = Index % 7 == 0;
    Record.take(Fails ? Verdict::Failing : Verdict::Healthy, 0.14, Limits,
                at(Index));
    EXPECT_FALSE(Record.isAvoided(at(Index)));
  }
}

TEST(TrustRecord, ManyFailuresBehindAHealthyCheckAreDetected) {
  TrustRecord Record;
  bool Avoided = false;
  for (int Index = 0; Index < 20 && !Avoided; ++Index) {
    Record.take(Index % 2 == 0 ? Verdict::Failing : Verdict::Healthy, 0.05,
                Limits, at(Index));
    Avoided = Record.isAvoided(at(Index));
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
