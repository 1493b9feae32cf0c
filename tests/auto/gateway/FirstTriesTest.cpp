/// \file
/// Callers who come back are known by the time that they have left.
#include "plugins/relays/FirstTries.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

Time at(int S) { return Time(seconds(100) + seconds(S)); }

TEST(FirstTries, WhoHasLessTimeThanOthersHasTriedBefore) {
  FirstTries Firsts;
  EXPECT_TRUE(Firsts.isFirst("a", seconds(10), at(0)));
  EXPECT_TRUE(Firsts.isFirst("a", milliseconds(8600), at(1)));
  EXPECT_FALSE(Firsts.isFirst("a", milliseconds(8000), at(1)));
  EXPECT_TRUE(Firsts.isFirst("b", seconds(3), at(1)));
}

TEST(FirstTries, AShorterTimeOfAllCallersIsLearnt) {
  FirstTries Firsts;
  EXPECT_TRUE(Firsts.isFirst("a", seconds(10), at(0)));
  bool IsFirst = false;
  for (int Now = 1; Now <= 25; ++Now)
    IsFirst = Firsts.isFirst("a", seconds(4), at(Now));
  EXPECT_TRUE(IsFirst);
}

} // namespace
} // namespace banyanpick
