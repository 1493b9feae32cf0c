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

/// The connection of an attempt that was sent just before is lost.
CrashEvidence lostAt(Time LostAt) { return {LostAt, LostAt, ProbeKind::None}; }

ConfirmedCrash crashOf(Fingerprint Content, const char *Engine, Time At) {
  return {{Content, UpstreamId(Engine)}, lostAt(At)};
}

TEST(CrashTracker, ALostConnectionIsACrashOnlyIfTheEngineDies) {
  CrashTracker Tracker = makeTracker();
  Tracker.addSuspicion({FaultyContent, UpstreamId("e1")}, lostAt(at(0)));
  EXPECT_EQ(Tracker.crashCount(FaultyContent), 0U);
  EXPECT_EQ(Tracker.confirm(UpstreamId("e1"), at(1)).size(), 1U);
  EXPECT_EQ(Tracker.crashCount(FaultyContent), 1U);
}

TEST(CrashTracker, ALateDeathDoesNotConfirmASuspicion) {
  CrashTracker Tracker = makeTracker();
  Tracker.addSuspicion({FaultyContent, UpstreamId("e1")}, lostAt(at(0)));
  EXPECT_TRUE(Tracker.confirm(UpstreamId("e1"), at(7)).empty());
}

TEST(CrashTracker, UnaffectedContentsAreNotQuarantined) {
  CrashTracker Tracker = makeTracker();
  for (const char *Engine : {"e1", "e2", "e3"}) {
    Tracker.addSuspicion({FaultyContent, UpstreamId(Engine)}, lostAt(at(0)));
    if (std::string_view(Engine) == "e1")
      Tracker.addSuspicion({UnaffectedContent, UpstreamId(Engine)},
                           lostAt(at(0)));
    Tracker.confirm(UpstreamId(Engine), at(1));
  }
  EXPECT_TRUE(Tracker.isQuarantined(FaultyContent));
  EXPECT_FALSE(Tracker.isQuarantined(UnaffectedContent));
}

TEST(CrashTracker, ACrashReportedTwiceCountsOnce) {
  CrashTracker Tracker = makeTracker();
  EXPECT_TRUE(Tracker.add(crashOf(FaultyContent, "e1", at(0)), at(0)));
  EXPECT_FALSE(Tracker.add(crashOf(FaultyContent, "e1", at(1)), at(1)));
  EXPECT_EQ(Tracker.crashCount(FaultyContent), 1U);
}

TEST(CrashTracker, QuarantinesARestoredContentUntilItExpires) {
  CrashTracker Tracker = makeTracker();
  Tracker.restore(FaultyContent, CrashVerdict::Suspected, at(0));
  EXPECT_TRUE(Tracker.isQuarantined(FaultyContent));
  EXPECT_TRUE(Tracker.removeExpired(at(600)).empty());
  EXPECT_EQ(Tracker.removeExpired(at(601)), std::vector{FaultyContent});
  EXPECT_FALSE(Tracker.isQuarantined(FaultyContent));
}

TEST(CrashTracker, RemovesExpiredCrashes) {
  CrashTracker Tracker = makeTracker();
  Tracker.add(crashOf(FaultyContent, "e1", at(0)), at(0));
  Tracker.removeExpired(at(601));
  EXPECT_EQ(Tracker.crashCount(FaultyContent), 0U);
}

/// Crashes three engines with the content, one a second.
void crashThree(CrashTracker &Tracker, Fingerprint Content, int From) {
  for (int Number = 0; Number < 3; ++Number) {
    const UpstreamId Engine("e" + std::to_string(From + Number));
    Tracker.addSuspicion({Content, Engine}, lostAt(at(From + Number)));
    Tracker.confirm(Engine, at(From + Number));
  }
}

/// Guards against parts that many requests share and that run beside the cause
/// of every crash.
TEST(CrashTracker, DoesNotCountCrashesOfAContentThatWasAnsweredSince) {
  CrashTracker Tracker = makeTracker();
  crashThree(Tracker, UnaffectedContent, 0);
  ASSERT_TRUE(Tracker.isQuarantined(UnaffectedContent));
  EXPECT_FALSE(Tracker.noteHarmless(UnaffectedContent, at(-4)))
      << "an answer that began too long before the crashes shows nothing";
  EXPECT_TRUE(Tracker.noteHarmless(UnaffectedContent, at(1)));
  EXPECT_FALSE(Tracker.isQuarantined(UnaffectedContent));
  EXPECT_EQ(Tracker.crashCount(UnaffectedContent), 0U);
}

/// Guards against a part that was harmless before and is no longer.
TEST(CrashTracker, CountsCrashesLongAfterTheLastHarmlessAnswer) {
  CrashTracker Tracker = makeTracker();
  Tracker.noteHarmless(FaultyContent, at(0));
  crashThree(Tracker, FaultyContent, 1);
  EXPECT_FALSE(Tracker.isQuarantined(FaultyContent));
  crashThree(Tracker, FaultyContent, 4);
  EXPECT_TRUE(Tracker.isQuarantined(FaultyContent));
}

TEST(CrashTracker, TellsOfHarmlessAnswersOnlyWhereACrashCouldQuarantine) {
  CrashTracker Tracker = makeTracker();
  Tracker.noteHarmless(UnaffectedContent, at(0));
  Tracker.add(crashOf(UnaffectedContent, "e1", at(1)), at(1));
  EXPECT_FALSE(Tracker.takeHarmlessToTell(UnaffectedContent).has_value());
  Tracker.add(crashOf(UnaffectedContent, "e2", at(1)), at(1));
  EXPECT_EQ(Tracker.takeHarmlessToTell(UnaffectedContent), at(0));
  EXPECT_FALSE(Tracker.takeHarmlessToTell(UnaffectedContent).has_value());
  // Peers already know of a newer answer.
  Tracker.takeHarmless(UnaffectedContent, at(3));
  Tracker.noteHarmless(UnaffectedContent, at(2));
  EXPECT_FALSE(Tracker.takeHarmlessToTell(UnaffectedContent).has_value());
}

/// Crashes the engines at the same moment, with attempts that were sent before.
void crashTogether(CrashTracker &Tracker, Fingerprint Content, int From,
                   int Count, int Second) {
  for (int Number = From; Number < From + Count; ++Number)
    Tracker.add({{Content, UpstreamId("e" + std::to_string(Number))},
                 {at(Second - 1), at(Second), ProbeKind::None}},
                at(Second));
}

/// Guards against deaths at the same moment that count as independent proofs.
TEST(CrashTracker, OnlySuspectsAContentWhoseCrashesWereTogether) {
  CrashTracker Tracker = makeTracker();
  crashTogether(Tracker, UnaffectedContent, 0, 5, 0);
  EXPECT_EQ(Tracker.judge(UnaffectedContent).Repetitions, 1U);
  EXPECT_EQ(Tracker.judge(UnaffectedContent).Verdict, CrashVerdict::Suspected);
  crashThree(Tracker, FaultyContent, 10);
  EXPECT_EQ(Tracker.judge(FaultyContent).Verdict, CrashVerdict::Proven);
}

/// Guards against a cause that is probed at once, as the notice of its first
/// crash took longer than that of the next one.
TEST(CrashTracker, ProvesACauseThoughNoticesAreDelayedUnequally) {
  CrashTracker Tracker = makeTracker();
  for (int Number = 0; Number < 3; ++Number) {
    const Time SentAt = at(0) + milliseconds(50) * Number;
    const Time CrashedAt = SentAt + milliseconds(50);
    const Duration Delay = milliseconds(5 * (3 - Number));
    Tracker.add({{FaultyContent, UpstreamId("e" + std::to_string(Number))},
                 {SentAt + Delay, CrashedAt + Delay, ProbeKind::None}},
                CrashedAt + Delay);
  }
  EXPECT_EQ(Tracker.judge(FaultyContent).Verdict, CrashVerdict::Proven);
}

/// Guards against a sound content that is refused with the cause, as its
/// harmless answers were too long ago to refute the crashes.
TEST(CrashTracker, PrefersASuspectThatWasNeverHarmless) {
  CrashTracker Tracker = makeTracker();
  Tracker.noteHarmless(UnaffectedContent, at(-20));
  crashThree(Tracker, UnaffectedContent, 0);
  EXPECT_EQ(Tracker.judge(UnaffectedContent).Verdict, CrashVerdict::Suspected);
  crashThree(Tracker, FaultyContent, 0);
  EXPECT_EQ(Tracker.judge(UnaffectedContent).Verdict, CrashVerdict::Sound);
  EXPECT_EQ(Tracker.judge(UnaffectedContent).BetterSuspect, FaultyContent);
  EXPECT_EQ(Tracker.judge(FaultyContent).Verdict, CrashVerdict::Proven);
}

/// Guards against a cause that hides behind another content.
TEST(CrashTracker, SuspectsAContentWithCrashesThatNothingElseExplains) {
  CrashTracker Tracker = makeTracker();
  Tracker.noteHarmless(FaultyContent, at(-20));
  crashThree(Tracker, UnaffectedContent, 0);
  crashThree(Tracker, FaultyContent, 0);
  ASSERT_FALSE(Tracker.isQuarantined(FaultyContent));
  Tracker.add(crashOf(FaultyContent, "x1", at(10)), at(10));
  EXPECT_FALSE(Tracker.isQuarantined(FaultyContent));
  Tracker.add(crashOf(FaultyContent, "x2", at(11)), at(11));
  EXPECT_TRUE(Tracker.isQuarantined(FaultyContent));
}

TEST(CrashTracker, ProvesNothingWhileTwoContentsExplainTheSameCrashes) {
  CrashTracker Tracker = makeTracker();
  crashThree(Tracker, UnaffectedContent, 0);
  crashThree(Tracker, FaultyContent, 0);
  EXPECT_EQ(Tracker.judge(FaultyContent).Verdict, CrashVerdict::Suspected);
  EXPECT_TRUE(Tracker.noteHarmless(UnaffectedContent, at(3)));
  EXPECT_EQ(Tracker.judge(FaultyContent).Verdict, CrashVerdict::Proven);
}

/// Guards against a content that turns bad under load and crashes many engines
/// before its last harmless answer is old enough.
TEST(CrashTracker, SuspectsAContentAfterFiveCrashesSoonAfterAnAnswer) {
  CrashTracker Tracker = makeTracker();
  Tracker.noteHarmless(FaultyContent, at(0));
  for (int Number = 0; Number < 5; ++Number) {
    EXPECT_FALSE(Tracker.isQuarantined(FaultyContent));
    const std::string Engine = "e" + std::to_string(Number);
    const Time At = at(1) + milliseconds(100) * Number;
    Tracker.add(crashOf(FaultyContent, Engine.c_str(), At), At);
  }
  EXPECT_TRUE(Tracker.isQuarantined(FaultyContent));
}

TEST(CrashTracker, ProbesOftenOnlyWhatHasNotFailedAsAProbe) {
  CrashTracker Tracker = makeTracker();
  crashTogether(Tracker, FaultyContent, 0, 3, 0);
  const Time First = Tracker.nextProbeAt(FaultyContent, 0);
  EXPECT_LE(First, at(3));
  EXPECT_GT(Tracker.nextProbeAt(FaultyContent, 1), First)
      << "a probe with another suspect says less";
  Tracker.add(
      {{FaultyContent, UpstreamId("p1")}, {First, First, ProbeKind::Alone}},
      First);
  EXPECT_EQ(Tracker.judge(FaultyContent).Verdict, CrashVerdict::Proven);
  const Duration Second = Tracker.nextProbeAt(FaultyContent, 0) - First;
  EXPECT_GE(Second, seconds(60));
  Tracker.add({{FaultyContent, UpstreamId("p2")},
               {First + Second, First + Second, ProbeKind::Alone}},
              First + Second);
  EXPECT_GT(Tracker.nextProbeAt(FaultyContent, 0) - (First + Second), Second);
}

/// Guards against a restored quarantine that ends by an answer from before the
/// crashes.
TEST(CrashTracker, KeepsARestoredQuarantineDespiteOlderAnswers) {
  CrashTracker Tracker = makeTracker();
  Tracker.restore(FaultyContent, CrashVerdict::Suspected, at(0));
  EXPECT_FALSE(Tracker.takeHarmless(FaultyContent, at(-5)));
  EXPECT_TRUE(Tracker.isQuarantined(FaultyContent));
  EXPECT_TRUE(Tracker.takeHarmless(FaultyContent, at(1)));
  EXPECT_FALSE(Tracker.isQuarantined(FaultyContent));
}

/// Guards against callers whose parts of prompts, each used once, fill the
/// memory of a host or displace the parts that all prompts share.
TEST(HarmlessAnswers, AreBoundedAndKeepWhatIsAnsweredOften) {
  HarmlessAnswers Answers;
  const Fingerprint Shared(~std::uint64_t(0));
  Answers.note(Shared, at(0));
  Answers.note(Shared, at(0));
  for (std::uint64_t Number = 0; Number < 100'000; ++Number)
    Answers.note(Fingerprint(Number), at(1));
  EXPECT_LE(Answers.size(), HarmlessAnswers::MaxContents);
  ASSERT_TRUE(Answers.find(Shared));
  EXPECT_EQ(Answers.find(Shared)->NewestBeganAt, at(0));
  for (std::uint64_t Number = 0; Number < 100'000; ++Number) {
    Answers.note(Fingerprint(Number), at(2));
    Answers.note(Fingerprint(Number), at(2));
  }
  EXPECT_LE(Answers.size(), HarmlessAnswers::MaxContents);
}

} // namespace
} // namespace banyanpick
