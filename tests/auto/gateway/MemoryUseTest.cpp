/// \file
/// Tests when reserved memory counts as idle.
#include "plugins/enginememory/MemoryUse.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr Time Start{seconds(100)};
constexpr MemoryUseLimits Limits{seconds(5), seconds(1)};

TEST(MemoryUse, IsIdleWithoutEvidence) {
  const MemoryUse Use(Start);
  EXPECT_FALSE(Use.isIdle(Limits, Start + milliseconds(4999)));
  EXPECT_TRUE(Use.isIdle(Limits, Start + seconds(5)));
}

TEST(MemoryUse, IsIdleAtTheSameTimeWhenUnusedIsReportedBeforeUse) {
  MemoryUse Use(Start);
  Use.note(false, Start + seconds(1));
  EXPECT_EQ(Use.idleAt(Limits), Start + seconds(5));
}

TEST(MemoryUse, IsInUseUntilAReportSaysOtherwise) {
  MemoryUse Use(Start);
  Use.note(true, Start + seconds(1));
  EXPECT_FALSE(Use.isIdle(Limits, Start + seconds(1000)));
  Use.note(false, Start + seconds(20));
  Use.note(false, Start + milliseconds(20500));
  EXPECT_EQ(Use.idleAt(Limits), Start + seconds(21));
}

TEST(MemoryUse, IsInUseAgainAfterALaterReport) {
  MemoryUse Use(Start);
  Use.note(true, Start + seconds(1));
  Use.note(false, Start + seconds(2));
  Use.note(true, Start + milliseconds(2500));
  EXPECT_EQ(Use.idleAt(Limits), Never);
}

} // namespace
} // namespace banyanpick
