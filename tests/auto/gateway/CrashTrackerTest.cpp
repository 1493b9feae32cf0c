/// \file
/// Guards against a content that crashes one engine after another, and against
/// a quarantine of unaffected contents that ran on a crashed engine.
#include "plugins/crashes/CrashTracker.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

const Fingerprint FaultyContent(1);
const Fingerprint UnaffectedContent(2);

CrashTracker makeTracker() { return {3, seconds(6), seconds(600)}; }

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

} // namespace
} // namespace banyanpick
