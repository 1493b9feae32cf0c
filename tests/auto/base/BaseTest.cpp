#include "base/Error.h"
#include "base/Random.h"
#include "base/RendezvousHash.h"
#include "base/StrongId.h"
#include "base/Text.h"
#include "base/Time.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck/gtest.h>
#include <unordered_set>

namespace banyanpick {
namespace {

TEST(Error, NamesTheRemedy) {
  const Error Thrown(ErrorKind::Conflict, "it changed", "try again");
  EXPECT_STREQ(Thrown.what(), "it changed; try again");
  EXPECT_EQ(Thrown.remedy(), "try again");
  EXPECT_EQ(name(Thrown.kind()), "conflict");
}

RC_GTEST_PROP(Random, IsReproducibleAndRespectsBounds,
              (std::uint64_t Seed, std::uint64_t Bound)) {
  Random First(Seed);
  Random Second(Seed);
  for (int Left = 20; Left > 0; --Left) {
    const std::uint64_t Number = First.below(Bound);
    RC_ASSERT(Number == Second.below(Bound));
    RC_ASSERT(Number < std::max<std::uint64_t>(Bound, 1));
    const double Fraction = First.fraction();
    RC_ASSERT(Fraction == Second.fraction());
    RC_ASSERT(Fraction >= 0 && Fraction < 1);
  }
}

/// Guards against times that differ between processors, as the conversion of a
/// number out of range does.
TEST(Time, ConvertsNumbersOutOfRange) {
  EXPECT_EQ(fromSeconds(1.5), milliseconds(1500));
  EXPECT_EQ(fromSeconds(1e300), MaxConverted);
  EXPECT_EQ(fromSeconds(-1e300), -MaxConverted);
  EXPECT_EQ(fromSeconds(std::numeric_limits<double>::infinity()), MaxConverted);
  EXPECT_EQ(fromSeconds(std::numeric_limits<double>::quiet_NaN()), Duration(0));
  EXPECT_GT(Time(hours(24) * 365 * 100) + MaxConverted, Time());
}

TEST(RendezvousHash, SpreadsEvenlyAndMovesOnlyKeysOfARemovedHost) {
  const std::array<std::string, 4> Hosts{"h1", "h2", "h3", "h4"};
  const auto Best = [&](const std::string &Key, std::size_t Count) {
    return std::max_element(Hosts.begin(), Hosts.begin() + Count,
                            [&](const auto &A, const auto &B) {
                              return rendezvousWeight(Key, A) <
                                     rendezvousWeight(Key, B);
                            }) -
           Hosts.begin();
  };
  std::array<int, 4> Owned{};
  for (int Key = 0; Key < 4000; ++Key) {
    const std::string Name = "team-" + std::to_string(Key);
    const auto All = Best(Name, 4);
    ++Owned[All];
    if (All != 3) {
      EXPECT_EQ(Best(Name, 3), All);
    }
  }
  for (const int Count : Owned)
    EXPECT_NEAR(Count, 1000, 150);
}

TEST(StrongId, DistinguishesIdsOfDifferentIncarnations) {
  std::unordered_set<AttemptId> Seen;
  for (std::uint64_t Life = 0; Life < 10; ++Life) {
    for (std::uint64_t Sequence = 0; Sequence < 10; ++Sequence)
      Seen.insert(AttemptId{Incarnation(Life), Sequence});
  }
  EXPECT_EQ(Seen.size(), 100u);
}

TEST(Text, TrimsBlanksAndLineEnds) {
  EXPECT_EQ(trimmed(" \t a b \r\n"), "a b");
  EXPECT_EQ(trimmed(" \n"), "");
}

TEST(Time, ConvertsSeconds) {
  EXPECT_EQ(fromSeconds(1.5), milliseconds(1500));
  EXPECT_DOUBLE_EQ(inSeconds(milliseconds(250)), 0.25);
}

} // namespace
} // namespace banyanpick
