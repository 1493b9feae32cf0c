#include "catalogue/KeyDigest.h"
#include "base/Error.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

constexpr std::string_view Salt = "000102030405060708090a0b0c0d0e0f";

RC_GTEST_PROP(KeyDigest, MatchesOnlyItsSecret,
              (const std::string &Secret, const std::string &Other)) {
  const KeyDigest Digest = digestOfKey(Secret, Salt);
  RC_ASSERT(isWellFormed(Digest));
  RC_ASSERT(matchesDigest(Secret, Digest));
  RC_ASSERT(matchesDigest(Other, Digest) == (Other == Secret));
  RC_ASSERT(!matchesDigest(Secret, KeyDigest{Other}));
}

TEST(KeyDigest, RefusesMalformedSalts) {
  EXPECT_THROW(digestOfKey("k", "00"), Error);
  EXPECT_THROW(digestOfKey("k", std::string(32, 'g')), Error);
}

TEST(KeyDigest, SplitsPresentedKeysAtTheFirstDot) {
  const auto Key = splitKey("house-1.a.b");
  ASSERT_TRUE(Key.has_value());
  EXPECT_EQ(Key->Name, "house-1");
  EXPECT_EQ(Key->Secret, "a.b");
  for (const char *Bad : {"", ".", "a", "a.", ".b"})
    EXPECT_FALSE(splitKey(Bad).has_value()) << Bad;
}

} // namespace
} // namespace banyanpick
