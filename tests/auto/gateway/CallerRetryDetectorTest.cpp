/// \file
/// Guards against retries of callers that are taken for first attempts, and the
/// reverse. Only the remaining time of a request distinguishes the two.
#include "plugins/relays/CallerRetryDetector.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

Time at(int Second) { return Time(seconds(100) + seconds(Second)); }

TEST(CallerRetryDetector, ARequestWithLessTimeThanOthersIsARetry) {
  CallerRetryDetector RetryDetector;
  EXPECT_TRUE(RetryDetector.isFirstAttempt("a", seconds(10), at(0)));
  EXPECT_TRUE(RetryDetector.isFirstAttempt("a", milliseconds(8600), at(1)));
  EXPECT_FALSE(RetryDetector.isFirstAttempt("a", milliseconds(8000), at(1)));
  EXPECT_TRUE(RetryDetector.isFirstAttempt("b", seconds(3), at(1)));
}

TEST(CallerRetryDetector, AdaptsToAShorterTimeOfAllCallers) {
  CallerRetryDetector RetryDetector;
  EXPECT_TRUE(RetryDetector.isFirstAttempt("a", seconds(10), at(0)));
  bool Result = false;
  for (int Second = 1; Second <= 25; ++Second)
    Result = RetryDetector.isFirstAttempt("a", seconds(4), at(Second));
  EXPECT_TRUE(Result);
}

} // namespace
} // namespace banyanpick
