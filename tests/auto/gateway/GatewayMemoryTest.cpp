/// \file
/// Tests that memory reservations on engines are used, renewed and always
/// released.
#include "auto/gateway/GatewayBench.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace banyanpick {
namespace {

constexpr std::uint64_t HugePrompt = 600'000;

class EngineMemory : public testing::Test {
protected:
  EngineMemory() {
    this->Bench.configure(1);
    this->Bench.registerEngines("ring", 6);
    this->Request = this->Bench.arrive("/review/1", HugePrompt, seconds(30));
  }

  void answerAll(ReservationResult Result) {
    for (const ReserveMemory &Request : this->Bench.all<ReserveMemory>())
      this->Bench.send(GatewayEvent(
          ReservationAnswered{Request.Engine, Request.Name, Result}));
  }
  std::set<std::string> requested() const {
    std::set<std::string> Result;
    for (const ReserveMemory &Request : this->Bench.all<ReserveMemory>())
      Result.insert(Request.Name);
    return Result;
  }
  std::size_t requestsTo(const UpstreamId &Engine) const {
    const auto All = this->Bench.all<ReserveMemory>();
    return std::ranges::count(All, Engine, &ReserveMemory::Engine);
  }
  std::set<std::string> released() const {
    std::set<std::string> Result;
    for (const ReleaseMemory &Order : this->Bench.all<ReleaseMemory>())
      Result.insert(Order.Name);
    return Result;
  }

  GatewayBench Bench;
  RequestId Request;
};

TEST_F(EngineMemory, IsReservedOnSeveralEnginesBeforeTheRequestIsSent) {
  EXPECT_GE(this->requested().size(), 2U);
  EXPECT_TRUE(this->Bench.all<DispatchRelay>().empty());
  this->answerAll(ReservationResult::Held);
  const DispatchRelay Sent = this->Bench.last<DispatchRelay>();
  ASSERT_FALSE(Sent.Helpers.empty());
  EXPECT_EQ(Sent.Helpers.front().Engine, Sent.Engine);
  std::uint64_t Tokens = 0;
  for (const HelperEngine &Helper : Sent.Helpers)
    Tokens += Helper.Tokens;
  EXPECT_GE(Tokens, HugePrompt);
}

TEST_F(EngineMemory, IsRenewedWhileInUseAndReleasedAtTheEnd) {
  this->answerAll(ReservationResult::Held);
  const std::size_t Before = this->Bench.all<ReserveMemory>().size();
  this->Bench.advance(milliseconds(1500));
  EXPECT_GE(this->Bench.all<ReserveMemory>().size(), Before + 4);
  this->Bench.endAttempt(this->Bench.last<DispatchRelay>().Attempt,
                         RelayDelivered{});
  EXPECT_EQ(this->released(), this->requested());
  const std::size_t Asked = this->Bench.all<ReserveMemory>().size();
  this->Bench.advance(seconds(5));
  EXPECT_EQ(this->Bench.all<ReserveMemory>().size(), Asked);
}

TEST_F(EngineMemory, IsReleasedOnAllEnginesWhenOneRefuses) {
  const auto Asked = this->Bench.all<ReserveMemory>();
  this->Bench.send(GatewayEvent(ReservationAnswered{
      Asked[0].Engine, Asked[0].Name, ReservationResult::Held}));
  this->Bench.send(GatewayEvent(ReservationAnswered{
      Asked[1].Engine, Asked[1].Name, ReservationResult::Refused}));
  EXPECT_TRUE(this->released().contains(Asked[0].Name));
  EXPECT_TRUE(this->Bench.all<DispatchRelay>().empty());
}

TEST_F(EngineMemory, IsReleasedWhenTheCallerDisconnects) {
  this->answerAll(ReservationResult::Held);
  this->Bench.send(Event(CallerDisconnected{this->Request}));
  EXPECT_EQ(this->released(), this->requested());
}

TEST_F(EngineMemory, IsReleasedRepeatedlyAfterAnUnansweredOrder) {
  this->answerAll(ReservationResult::Unknown);
  this->Bench.send(Event(CallerDisconnected{this->Request}));
  const std::size_t Before = this->Bench.all<ReleaseMemory>().size();
  this->Bench.advance(seconds(13));
  EXPECT_GE(this->Bench.all<ReleaseMemory>().size(), Before + 20);
}

/// Guards against a renewal that is carried out after the release and reserves
/// the memory again.
TEST_F(EngineMemory, IsReleasedRepeatedlyWhileARenewalIsUnderWay) {
  this->answerAll(ReservationResult::Held);
  this->Bench.advance(milliseconds(800));
  this->Bench.send(Event(CallerDisconnected{this->Request}));
  const std::size_t Before = this->Bench.all<ReleaseMemory>().size();
  this->Bench.advance(seconds(13));
  EXPECT_GE(this->Bench.all<ReleaseMemory>().size(), Before + 20);
}

TEST_F(EngineMemory, OfAnEarlierIncarnationIsNeitherRenewedNorReleased) {
  this->answerAll(ReservationResult::Held);
  const HelperEngine Reserving =
      this->Bench.last<DispatchRelay>().Helpers.front();
  const std::size_t Asked = this->requestsTo(Reserving.Engine);
  this->Bench.report(UpstreamId(Reserving.Engine.Value + "@5000"));
  this->Bench.advance(seconds(20));
  EXPECT_EQ(this->requestsTo(Reserving.Engine), Asked);
  EXPECT_FALSE(this->released().contains(Reserving.Reservation));
}

/// Engines that keep reservations and report whether they are in use. Measures
/// how long memory stays reserved without use.
class ReservingEngines {
public:
  explicit ReservingEngines(GatewayBench &Bench) : Bench(Bench) {}

  /// How long requests use their memory after they were sent.
  Duration UsedFor{};
  bool AnswersReports = true;

  /// Advances the time; engines answer all orders on the way.
  void run(Duration For) {
    const Time Until = this->Bench.Now + For;
    while (this->Bench.Now < Until) {
      this->answerNew();
      this->Bench.advance(Step);
      this->measure();
    }
  }
  Duration longestIdle() const { return this->Longest; }

private:
  static constexpr milliseconds Step{50};

  struct Kept {
    UpstreamId Engine;
    Time Until{};
    Time UnusedSince{};
  };

  void answerNew() {
    const auto Reserved = this->Bench.all<ReserveMemory>();
    for (; this->Answered < Reserved.size(); ++this->Answered)
      this->reserve(Reserved[this->Answered]);
    const auto Released = this->Bench.all<ReleaseMemory>();
    for (; this->Taken < Released.size(); ++this->Taken)
      this->Memory.erase(Released[this->Taken].Name);
    const auto Asked = this->Bench.all<AskReport>();
    for (; this->Reported < Asked.size(); ++this->Reported)
      if (this->AnswersReports)
        this->report(Asked[this->Reported].Engine);
  }
  void reserve(const ReserveMemory &Order) {
    const auto [At, IsNew] = this->Memory.try_emplace(Order.Name);
    if (IsNew)
      At->second = {Order.Engine, {}, this->Bench.Now};
    At->second.Until = this->Bench.Now + Order.Hold;
    this->Bench.send(GatewayEvent(ReservationAnswered{
        Order.Engine, Order.Name, ReservationResult::Held}));
  }
  bool isUsed(const std::string &Name) const {
    for (const DispatchRelay &Sent : this->Bench.all<DispatchRelay>())
      for (const HelperEngine &Helper : Sent.Helpers)
        if (Helper.Reservation == Name)
          return this->Bench.Now < this->sentAt(Sent.Attempt) + this->UsedFor;
    return false;
  }
  Time sentAt(const AttemptId &Attempt) const {
    return this->SentAt.try_emplace(Attempt, this->Bench.Now).first->second;
  }
  void report(const UpstreamId &Engine) {
    EngineReport Report;
    Report.Engine = Engine;
    for (const auto &[Name, Entry] : this->Memory)
      if (Entry.Engine == Engine)
        Report.Reservations.push_back({Name, 1, this->isUsed(Name), {}});
    this->Bench.send(GatewayEvent(EngineReported{Report}));
  }
  void measure() {
    std::erase_if(this->Memory, [&](const auto &Entry) {
      return Entry.second.Until <= this->Bench.Now;
    });
    for (auto &[Name, Entry] : this->Memory) {
      if (this->isUsed(Name))
        Entry.UnusedSince = this->Bench.Now;
      this->Longest = std::max<Duration>(this->Longest,
                                         this->Bench.Now - Entry.UnusedSince);
    }
  }

  GatewayBench &Bench;
  std::size_t Answered = 0;
  std::size_t Taken = 0;
  std::size_t Reported = 0;
  std::map<std::string, Kept> Memory;
  mutable std::map<AttemptId, Time> SentAt;
  Duration Longest{};
};

/// How long memory may stay reserved before a request uses it, and after the
/// last one that did.
constexpr seconds MaxIdleBeforeUse(9);
constexpr seconds MaxIdleAfterUse(4);

class IdleMemory : public EngineMemory {
protected:
  ReservingEngines Engines{this->Bench};
};

TEST_F(IdleMemory, IsReleasedWhenTheRequestWaitsAtItsEngine) {
  this->Engines.run(seconds(30));
  EXPECT_LT(this->Engines.longestIdle(), MaxIdleBeforeUse);
  EXPECT_GE(this->Bench.all<DispatchRelay>().size(), 2U) << "tried elsewhere";
}

TEST_F(IdleMemory, IsReleasedWhenItsUseIsNotReported) {
  this->Engines.AnswersReports = false;
  this->Engines.run(seconds(30));
  EXPECT_LT(this->Engines.longestIdle(), MaxIdleBeforeUse);
}

TEST_F(IdleMemory, IsReleasedWhenTheAnswerWasLost) {
  this->Engines.UsedFor = seconds(3);
  this->Engines.run(seconds(30));
  EXPECT_LT(this->Engines.longestIdle(), MaxIdleAfterUse);
  EXPECT_GE(this->Bench.all<DispatchRelay>().size(), 2U) << "tried elsewhere";
}

TEST_F(IdleMemory, IsReleasedWhenTheAnswerStopped) {
  this->Engines.UsedFor = seconds(3);
  this->Engines.run(seconds(2));
  this->Bench.send(
      GatewayEvent(RelayBegan{this->Bench.last<DispatchRelay>().Attempt}));
  this->Engines.run(seconds(28));
  EXPECT_LT(this->Engines.longestIdle(), MaxIdleAfterUse);
}

TEST_F(IdleMemory, IsKeptWhileTheRequestUsesIt) {
  this->Engines.UsedFor = seconds(60);
  this->Engines.run(seconds(9));
  EXPECT_TRUE(this->Bench.all<CancelRelay>().empty());
  EXPECT_TRUE(this->released().empty());
}

TEST_F(IdleMemory, IsKeptWhileTheAnswerArrivesAndReportsAreLost) {
  this->Engines.run(seconds(1));
  this->Engines.AnswersReports = false;
  this->Bench.send(
      GatewayEvent(RelayBegan{this->Bench.last<DispatchRelay>().Attempt}));
  this->Engines.run(seconds(25));
  EXPECT_TRUE(this->Bench.all<CancelRelay>().empty());
  EXPECT_TRUE(this->released().empty());
}

} // namespace
} // namespace banyanpick
