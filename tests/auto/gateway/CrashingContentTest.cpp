/// \file
/// Guards against content that is sent to engines after it was quarantined
/// because it crashes them.
#include "auto/gateway/GatewayBench.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace banyanpick {
namespace {

const Fingerprint CrashingContent(5);
constexpr std::uint64_t LongPrompt = 150'000; ///< Tokens.
constexpr std::uint64_t HugePrompt = 600'000; ///< More than an engine's memory.

class CrashingContentTest : public testing::Test {
protected:
  CrashingContentTest() {
    this->Bench.configure(1);
    this->Bench.registerEngines("desk", 3);
  }

  RequestId arrive(std::string Path, std::uint64_t PromptTokens = 0,
                   Duration Remaining = seconds(5)) {
    return this->Bench.arrive(std::move(Path), PromptTokens, Remaining,
                              CrashingContent);
  }
  /// A peer reports three crashes, which quarantine the content.
  void quarantine() {
    for (const char *Engine : {"x1", "x2", "x3"})
      this->Bench.reportCrash(CrashingContent, Engine);
  }
  std::size_t sends(const RequestId &Id) const {
    const auto All = this->Bench.all<DispatchRelay>();
    return static_cast<std::size_t>(
        std::ranges::count(All, Id, &DispatchRelay::Request));
  }
  std::vector<RefusalKind> refusals(const RequestId &Id) const {
    std::vector<RefusalKind> Result;
    for (const RefuseRelay &Refused : this->Bench.all<RefuseRelay>())
      if (Refused.Request == Id)
        Result.push_back(Refused.Kind);
    return Result;
  }

  GatewayBench Bench;
};

using Refusals = std::vector<RefusalKind>;

TEST_F(CrashingContentTest, IsRefusedAtOnceWhileItWaitsForItsTurn) {
  this->Bench.registerEngines("ring", 6, 50);
  this->Bench.arrive("/stream/1", LongPrompt);
  const RequestId Queued = this->arrive("/stream/2", LongPrompt);
  ASSERT_EQ(this->sends(Queued), 0U);
  this->quarantine();
  EXPECT_EQ(this->refusals(Queued), Refusals{RefusalKind::NotRun});
  this->Bench.send(
      GatewayEvent(RelayBegan{this->Bench.last<DispatchRelay>().Attempt}));
  this->Bench.advance(seconds(1));
  EXPECT_EQ(this->sends(Queued), 0U);
}

TEST_F(CrashingContentTest, IsRefusedAtOnceWhileItWaitsForAnEngine) {
  const RequestId Waiting = this->arrive("/stream/1", 5000);
  this->quarantine();
  EXPECT_EQ(this->refusals(Waiting), Refusals{RefusalKind::NotRun});
  this->Bench.registerEngines("ring", 1, 50);
  this->Bench.advance(milliseconds(500));
  EXPECT_EQ(this->sends(Waiting), 0U);
}

TEST_F(CrashingContentTest, IsRefusedAtOnceWhileItsMemoryIsReserved) {
  this->Bench.registerEngines("ring", 6, 50);
  const RequestId Reserving =
      this->arrive("/review/1", HugePrompt, seconds(30));
  const auto Reservations = this->Bench.all<ReserveMemory>();
  ASSERT_FALSE(Reservations.empty());
  this->quarantine();
  EXPECT_EQ(this->refusals(Reserving), Refusals{RefusalKind::NotRun});
  for (const ReserveMemory &Reserved : Reservations)
    this->Bench.send(GatewayEvent(ReservationAnswered{
        Reserved.Engine, Reserved.Name, ReservationResult::Held}));
  EXPECT_EQ(this->sends(Reserving), 0U);
  EXPECT_GE(this->Bench.all<ReleaseMemory>().size(), Reservations.size());
}

TEST_F(CrashingContentTest, IsNotSentAgainAfterARefusalByItsEngine) {
  const RequestId Id = this->arrive("/safe/1");
  const DispatchRelay First = this->Bench.last<DispatchRelay>();
  this->quarantine();
  this->Bench.endAttempt(First.Attempt, RelayNotRun{});
  EXPECT_EQ(this->sends(Id), 1U);
  EXPECT_EQ(this->refusals(Id).size(), 1U);
}

class UnansweredContent : public CrashingContentTest,
                          public testing::WithParamInterface<const char *> {};

/// The engine may not have begun to run it yet, and would crash.
TEST_P(UnansweredContent, IsCancelledAndReportedAsPossiblyRun) {
  const RequestId Id = this->arrive(GetParam());
  const DispatchRelay Sent = this->Bench.last<DispatchRelay>();
  this->quarantine();
  ASSERT_EQ(this->Bench.all<CancelRelay>().size(), 1U);
  EXPECT_EQ(this->Bench.last<CancelRelay>().Attempt, Sent.Attempt);
  EXPECT_EQ(this->refusals(Id), Refusals{RefusalKind::OutcomeUnknown});
  this->Bench.advance(seconds(3));
  EXPECT_EQ(this->sends(Id), 1U);
}

INSTANTIATE_TEST_SUITE_P(OfBothKinds, UnansweredContent,
                         testing::Values("/safe/1", "/once/1"));

TEST_F(CrashingContentTest, IsNotCutOffWhileItsAnswerArrives) {
  this->Bench.registerEngines("ring", 1, 50);
  const RequestId Id = this->arrive("/stream/1", 5000);
  const DispatchRelay Sent = this->Bench.last<DispatchRelay>();
  this->Bench.send(GatewayEvent(RelayBegan{Sent.Attempt}));
  this->quarantine();
  EXPECT_TRUE(this->Bench.all<CancelRelay>().empty());
  // Once broken, it is not resumed at another engine.
  this->Bench.registerEngines("ring", 3, 60);
  this->Bench.endAttempt(Sent.Attempt,
                         RelayBroken{RelayBroken::Why::Reset, true, 7});
  this->Bench.advance(seconds(1));
  EXPECT_EQ(this->sends(Id), 1U);
  EXPECT_EQ(this->Bench.last<BreakRelay>().Request, Id);
}

TEST_F(CrashingContentTest, LeavesRequestsWithOtherContentAlone) {
  const RequestId Other = this->Bench.arrive("/safe/1");
  this->quarantine();
  EXPECT_TRUE(this->Bench.all<CancelRelay>().empty());
  EXPECT_TRUE(this->refusals(Other).empty());
}

} // namespace
} // namespace banyanpick
