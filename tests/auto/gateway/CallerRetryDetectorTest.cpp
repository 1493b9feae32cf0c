/// \file
/// Callers who come back are known by the time that they have left.
#include "plugins/relays/CallerRetryDetector.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

Time at(int S) { return Time(seconds(100) + seconds(S)); }

TEST(CallerRetryDetector, WhoHasLessTimeThanOthersHasTriedBefore) {
  CallerRetryDetector RetryDetector;
  EXPECT_TRUE(RetryDetector.isFirstAttempt("a", seconds(10), at(0)));
  EXPECT_TRUE(RetryDetector.isFirstAttempt("a", milliseconds(8600), at(1)));
  EXPECT_FALSE(RetryDetector.isFirstAttempt("a", milliseconds(8000), at(1)));
  EXPECT_TRUE(RetryDetector.isFirstAttempt("b", seconds(3), at(1)));
}

TEST(CallerRetryDetector, AShorterTimeOfAllCallersIsLearnt) {
  CallerRetryDetector RetryDetector;
  EXPECT_TRUE(RetryDetector.isFirstAttempt("a", seconds(10), at(0)));
  bool IsFirst = false;
  for (int Now = 1; Now <= 25; ++Now)
    IsFirst = RetryDetector.isFirstAttempt("a", seconds(4), at(Now));
  EXPECT_TRUE(IsFirst);
}

} // namespace
} // namespace banyanpick
