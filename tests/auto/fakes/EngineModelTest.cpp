/// \file
/// Tests that the simulated engine produces complete answers in order, follows
/// priorities, stays within its memory, frees all of it and checks fencing
/// numbers.
#include "fakes/EngineModel.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

constexpr Time Start = Time(seconds(1000));

EngineJob job(std::uint64_t Sequence, std::uint64_t Prompt,
              std::uint64_t Output, std::uint32_t Priority = 0) {
  EngineJob Job;
  Job.Attempt = AttemptId{Incarnation(7), Sequence};
  Job.Owner = "host-1";
  Job.PromptTokens = Prompt;
  Job.OutputTokens = Output;
  Job.Priority = Priority;
  return Job;
}

/// Returns the time of the first chunk of each attempt.
std::map<std::uint64_t, Time> firstChunks(EngineModel &Engine) {
  std::map<std::uint64_t, Time> FirstChunkTimes;
  while (Engine.nextStep() != Never) {
    const Time Step = Engine.nextStep();
    for (const EngineModel::Output &Output : Engine.advance(Step))
      FirstChunkTimes.emplace(Output.Attempt.Sequence, Step);
  }
  return FirstChunkTimes;
}

TEST(EngineModel, PrefillsAtConfiguredSpeedAndUrgentJobsOvertake) {
  EngineModel Engine({});
  Engine.submit(job(1, 200'000, 1), Start);
  Engine.submit(job(2, 1'000, 1, 9), Start);
  const auto FirstChunkTimes = firstChunks(Engine);
  // The urgent job only waits for the prefill chunk that is already running.
  EXPECT_LT(inSeconds(FirstChunkTimes.at(2) - Start), 0.1);
  EXPECT_NEAR(inSeconds(FirstChunkTimes.at(1) - Start), 4.02, 0.01);
}

/// Guards against two jobs that wait for each other until their deadlines: one
/// for the memory of a hold, the other, which uses the hold, behind the first.
TEST(EngineModel, GrantsNoHoldOfMemoryThatAnAcceptedJobNeeds) {
  constexpr std::uint64_t Prompt = 100'000;
  constexpr std::uint64_t Rest = 300'022;
  EngineModel Engine({});
  Engine.submit(job(1, 1'000, 1), Start);
  // Waits for the end of the running step.
  Engine.submit(job(2, Prompt, 1), Start);
  const HoldId Hold{Incarnation(7), 3};
  EXPECT_FALSE(Engine.takeHold(Hold, "host-2", Rest, Start + hours(1)));
  firstChunks(Engine);
  const Time Later = Start + seconds(10);
  EXPECT_TRUE(Engine.takeHold(Hold, "host-2", Rest, Later + hours(1)));
}

TEST(EngineModel, SkipsCachedPrefixAndPublishesEventsAfterLag) {
  EngineModel Engine({});
  EngineJob First = job(1, 4096, 1);
  First.Blocks = {11, 12, 13, 14};
  Engine.submit(First, Start);
  const Time Done = firstChunks(Engine).at(1);
  EXPECT_TRUE(Engine.cacheEventsAfter(0, Done).empty());
  EXPECT_EQ(Engine.cacheEventsAfter(0, Done + seconds(1)).size(), 4U);
  First.Attempt.Sequence = 2;
  Engine.submit(First, Done);
  firstChunks(Engine);
  EXPECT_EQ(Engine.prefilledTokens(), 4097U);
}

TEST(EngineModel, RefusesOldFencingOnlyWhenItChecks) {
  EngineModel Checking({});
  EXPECT_EQ(Checking.order(5, LoadModel{}), OrderResult::Accepted);
  EXPECT_EQ(Checking.order(4, LoadModel{}), OrderResult::RefusedFencing);
  EngineShape Shape;
  Shape.ChecksFencing = false;
  EngineModel Ignoring(Shape);
  EXPECT_EQ(Ignoring.order(5, LoadModel{}), OrderResult::Accepted);
  EXPECT_EQ(Ignoring.order(4, LoadModel{}), OrderResult::Accepted);
}

TEST(EngineModel, DropsExpiredJobsAndCountsWastedPrefill) {
  EngineModel Engine({});
  EngineJob Long = job(1, 200'000, 1);
  Long.Deadline = Start + seconds(1);
  Engine.submit(Long, Start);
  EXPECT_TRUE(firstChunks(Engine).empty());
  EXPECT_EQ(Engine.heldTokens(), 0U);
  EXPECT_GT(Engine.wastedPrefillTokens(), 40'000U);
}

RC_GTEST_PROP(EngineModel, ProducesEachChunkOnceAndLeaksNoMemory, ()) {
  EngineModel Engine({});
  std::map<std::uint64_t, std::uint64_t> ExpectedCounts;
  std::map<std::uint64_t, std::uint64_t> NextIndexes;
  const auto CheckOutput =
      [&NextIndexes](std::span<const EngineModel::Output> Outputs) {
        for (const EngineModel::Output &Output : Outputs) {
          RC_ASSERT(Output.FirstIndex == NextIndexes[Output.Attempt.Sequence]);
          NextIndexes[Output.Attempt.Sequence] += Output.Count;
        }
      };
  Time Now = Start;
  for (std::uint64_t Sequence = 1; Sequence <= 60; ++Sequence) {
    Now += milliseconds(*rc::gen::inRange(0, 200));
    CheckOutput(Engine.advance(Now));
    const auto Prompt = *rc::gen::inRange<std::uint64_t>(1, 390'000);
    const auto Output = *rc::gen::inRange<std::uint64_t>(1, 50);
    const auto Priority = *rc::gen::inRange<std::uint32_t>(0, 9);
    Engine.submit(job(Sequence, Prompt, Output, Priority), Now);
    ExpectedCounts[Sequence] = Output;
    if (*rc::gen::inRange(0, 4) == 0) {
      Engine.cancel(AttemptId{Incarnation(7), Sequence}, Now);
      ExpectedCounts.erase(Sequence);
    }
    RC_ASSERT(Engine.heldTokens() <= Engine.shape().MemoryTokens);
  }
  while (Engine.nextStep() != Never)
    CheckOutput(Engine.advance(Engine.nextStep()));
  for (const auto &[Sequence, Count] : ExpectedCounts)
    RC_ASSERT(NextIndexes[Sequence] == Count);
  RC_ASSERT(Engine.heldTokens() == 0U);
}

} // namespace
} // namespace banyanpick
