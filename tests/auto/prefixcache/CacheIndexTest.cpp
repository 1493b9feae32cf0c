/// \file
/// Tests the index of cached blocks with gaps, removals and restarts of the
/// engine.
#include "plugins/prefixcache/CacheIndex.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

const std::vector<BlockHash> Prompt = {1, 2, 3};

TEST(CacheIndex, CountsTheCachedStartOfThePrompt) {
  CacheIndex Index;
  const std::vector<CacheEvent> Events = {{1, true, 1}, {2, true, 2}};
  EXPECT_FALSE(Index.take(Incarnation(1), Events));
  EXPECT_EQ(Index.cachedTokens(Prompt), 2 * PromptBlockTokens);
  EXPECT_FALSE(Index.take(Incarnation(1), Events)) << "repeated events";
  const std::vector<CacheEvent> Removal = {{3, false, 1}};
  Index.take(Incarnation(1), Removal);
  EXPECT_EQ(Index.cachedTokens(Prompt), 0U);
}

TEST(CacheIndex, CountsBlocksFromBeforeAGapHalf) {
  CacheIndex Index;
  Index.take(Incarnation(1), std::vector<CacheEvent>{{1, true, 1}});
  EXPECT_TRUE(
      Index.take(Incarnation(1), std::vector<CacheEvent>{{5, true, 2}}));
  EXPECT_EQ(Index.cachedTokens(Prompt), PromptBlockTokens * 3 / 2);
}

TEST(CacheIndex, ClearsBlocksOfAnEarlierIncarnation) {
  CacheIndex Index;
  Index.take(Incarnation(1), std::vector<CacheEvent>{{1, true, 1}});
  Index.take(Incarnation(2), std::vector<CacheEvent>{{1, true, 9}});
  EXPECT_EQ(Index.cachedTokens(Prompt), 0U);
}

} // namespace
} // namespace banyanpick
