/// \file
/// Tests that memory reservations on engines are used, renewed and always
/// released.
#include "auto/gateway/GatewayBench.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

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

} // namespace
} // namespace banyanpick
