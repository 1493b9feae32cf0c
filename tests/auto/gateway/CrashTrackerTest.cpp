/// \file
/// Guards against a content that crashes one engine after another, and against
/// a quarantine of unaffected contents that ran on a crashed engine.
#include "plugins/crashes/CrashTracker.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

const Fingerprint FaultyContent(1);
const Fingerprint UnaffectedContent(2);

constexpr seconds HarmlessLifetime(3);

CrashTracker makeTracker() {
  return CrashTracker({3, seconds(6), seconds(600), HarmlessLifetime});
}

Time at(int Second) { return Time(seconds(100 + Second)); }

TEST(CrashTracker, ALostConnectionIsACrashOnlyIfTheEngineDies) {
  CrashTracker Tracker = makeTracker();
  Tracker.addSuspicion({FaultyContent, UpstreamId("e1")}, at(0));
  EXPECT_EQ(Tracker.crashCount(FaultyContent), 0U);
  EXPECT_EQ(Tracker.confirm(UpstreamId("e1"), at(1)).size(), 1U);
  EXPECT_EQ(Tracker.crashCount(FaultyContent), 1U);
}

TEST(CrashTracker, ALateDeathDoesNotConfirmASuspicion) {
  CrashTracker Tracker = makeTracker();
  Tracker.addSuspicion({FaultyContent, UpstreamId("e1")}, at(0));
  EXPECT_TRUE(Tracker.confirm(UpstreamId("e1"), at(7)).empty());
}

TEST(CrashTracker, UnaffectedContentsAreNotQuarantined) {
  CrashTracker Tracker = makeTracker();
  for (const char *Engine : {"e1", "e2", "e3"}) {
    Tracker.addSuspicion({FaultyContent, UpstreamId(Engine)}, at(0));
    if (std::string_view(Engine) == "e1")
      Tracker.addSuspicion({UnaffectedContent, UpstreamId(Engine)}, at(0));
    Tracker.confirm(UpstreamId(Engine), at(1));
  }
  EXPECT_TRUE(Tracker.isQuarantined(FaultyContent));
  EXPECT_FALSE(Tracker.isQuarantined(UnaffectedContent));
}

TEST(CrashTracker, ACrashReportedTwiceCountsOnce) {
  CrashTracker Tracker = makeTracker();
  EXPECT_TRUE(Tracker.add({FaultyContent, UpstreamId("e1")}, at(0)));
  EXPECT_FALSE(Tracker.add({FaultyContent, UpstreamId("e1")}, at(1)));
  EXPECT_EQ(Tracker.crashCount(FaultyContent), 1U);
}

TEST(CrashTracker, QuarantinesARestoredContentUntilItExpires) {
  CrashTracker Tracker = makeTracker();
  Tracker.restore(FaultyContent, at(0));
  EXPECT_TRUE(Tracker.isQuarantined(FaultyContent));
  EXPECT_TRUE(Tracker.removeExpired(at(600)).empty());
  EXPECT_EQ(Tracker.removeExpired(at(601)), std::vector{FaultyContent});
  EXPECT_FALSE(Tracker.isQuarantined(FaultyContent));
}

TEST(CrashTracker, RemovesExpiredCrashes) {
  CrashTracker Tracker = makeTracker();
  Tracker.add({FaultyContent, UpstreamId("e1")}, at(0));
  Tracker.removeExpired(at(601));
  EXPECT_EQ(Tracker.crashCount(FaultyContent), 0U);
}

/// Crashes three engines with the content, one a second.
void crashThree(CrashTracker &Tracker, Fingerprint Content, int From) {
  for (int Number = 0; Number < 3; ++Number) {
    const UpstreamId Engine("e" + std::to_string(From + Number));
    Tracker.addSuspicion({Content, Engine}, at(From + Number));
    Tracker.confirm(Engine, at(From + Number));
  }
}

/// Guards against parts that many requests share and that run beside the cause
/// of every crash.
TEST(CrashTracker, DoesNotCountCrashesOfAContentThatWasAnsweredSince) {
  CrashTracker Tracker = makeTracker();
  crashThree(Tracker, UnaffectedContent, 0);
  ASSERT_TRUE(Tracker.isQuarantined(UnaffectedContent));
  EXPECT_FALSE(Tracker.noteHarmless(UnaffectedContent, at(-4), at(3)))
      << "an answer that began too long before the crashes shows nothing";
  EXPECT_TRUE(Tracker.noteHarmless(UnaffectedContent, at(1), at(4)));
  EXPECT_FALSE(Tracker.isQuarantined(UnaffectedContent));
  EXPECT_EQ(Tracker.crashCount(UnaffectedContent), 0U);
}

/// Guards against a part that was harmless before and is no longer.
TEST(CrashTracker, CountsCrashesLongAfterTheLastHarmlessAnswer) {
  CrashTracker Tracker = makeTracker();
  Tracker.noteHarmless(FaultyContent, at(0), at(0));
  crashThree(Tracker, FaultyContent, 1);
  EXPECT_FALSE(Tracker.isQuarantined(FaultyContent));
  crashThree(Tracker, FaultyContent, 4);
  EXPECT_TRUE(Tracker.isQuarantined(FaultyContent));
}

TEST(CrashTracker, TellsOfHarmlessAnswersOnlyWhereACrashCouldQuarantine) {
  CrashTracker Tracker = makeTracker();
  Tracker.noteHarmless(UnaffectedContent, at(0), at(0));
  Tracker.add({UnaffectedContent, UpstreamId("e1")}, at(1));
  EXPECT_FALSE(Tracker.takeHarmlessToTell(UnaffectedContent).has_value());
  Tracker.add({UnaffectedContent, UpstreamId("e2")}, at(1));
  EXPECT_EQ(Tracker.takeHarmlessToTell(UnaffectedContent), at(0));
  EXPECT_FALSE(Tracker.takeHarmlessToTell(UnaffectedContent).has_value());
  // Peers already know of a newer answer.
  Tracker.takeHarmless(UnaffectedContent, at(3), at(3));
  Tracker.noteHarmless(UnaffectedContent, at(2), at(4));
  EXPECT_FALSE(Tracker.takeHarmlessToTell(UnaffectedContent).has_value());
}

} // namespace
} // namespace banyanpick
