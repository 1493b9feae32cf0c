/// \file
/// Tests what one gateway sends to an engine that is cold or limits its
/// connections.
#include "auto/gateway/GatewayBench.h"

#include "fakes/GatewayDeclarations.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace banyanpick {
namespace {

constexpr double ColdRate = 5;
constexpr seconds ColdStart(3);

/// A gateway without peers. All limits are its own.
class EngineRates : public testing::Test {
protected:
  EngineRates() {
    this->configure(1);
    this->Bench.registerEngines("ring", 6);
  }

  void configure(std::uint32_t MaxConnections) {
    auto Declared = std::make_shared<GatewayConfiguration>(
        *gatewayDeclarations(++this->Version));
    ServiceEntry &Ring = Declared->Services[ServiceId("ring")];
    Ring.ColdRequestsPerSecond = ColdRate;
    Ring.ColdStart = ColdStart;
    if (MaxConnections > 1)
      Ring.MaxConnections = MaxConnections;
    this->Bench.send(
        GatewayEvent(ConfigurationRead{Declared, ConfigurationSource::Store}));
  }

  void answerWith(const UpstreamId &Engine, ColdSignal Cold) {
    AnswerSignals Signals;
    Signals.Cold = std::move(Cold);
    this->Bench.send(
        GatewayEvent(EngineSignalsReceived{Engine, this->Bench.Now, Signals}));
  }

  std::ptrdiff_t sentTo(const UpstreamId &Engine) const {
    return std::ranges::count(this->Bench.all<DispatchRelay>(), Engine,
                              &DispatchRelay::Engine);
  }

  GatewayBench Bench;
  std::uint64_t Version = 0;
};

TEST_F(EngineRates, RequestsGoToOtherEnginesUntilTheColdOneHasQuota) {
  this->Bench.arrive("/stream/1", 5000);
  const UpstreamId Engine = this->Bench.last<DispatchRelay>().Engine;
  const auto Before = this->sentTo(Engine);
  this->answerWith(Engine, ColdDeclared{ColdStart});
  for (int Count = 0; Count < 20; ++Count)
    this->Bench.arrive("/stream/1", 5000);
  EXPECT_EQ(this->sentTo(Engine), Before);
  EXPECT_EQ(this->Bench.all<DispatchRelay>().size(), 21U);
}

/// Guards against a cold time that cannot be read and is taken as none.
TEST_F(EngineRates, AnUnreadableColdTimeIsThatOfTheService) {
  this->Bench.arrive("/stream/1", 5000);
  const UpstreamId Engine = this->Bench.last<DispatchRelay>().Engine;
  const auto Before = this->sentTo(Engine);
  this->answerWith(Engine, ColdUnreadable{"soon"});
  this->Bench.arrive("/stream/1", 5000);
  EXPECT_EQ(this->sentTo(Engine), Before);
}

/// Orders are requests too. The memory of a cold engine lapses there.
TEST_F(EngineRates, AColdEngineGetsNoOrdersForMemory) {
  this->Bench.arrive("/review/1", 600'000, seconds(30));
  for (const ReserveMemory &Request : this->Bench.all<ReserveMemory>())
    this->Bench.send(GatewayEvent(ReservationAnswered{
        Request.Engine, Request.Name, ReservationResult::Held}));
  const DispatchRelay Sent = this->Bench.last<DispatchRelay>();
  ASSERT_FALSE(Sent.Helpers.empty());
  const UpstreamId Cold = Sent.Helpers.back().Engine;
  const auto OrdersTo = [&] {
    return std::ranges::count(this->Bench.all<ReserveMemory>(), Cold,
                              &ReserveMemory::Engine) +
           std::ranges::count(this->Bench.all<ReleaseMemory>(), Cold,
                              &ReleaseMemory::Engine);
  };
  this->answerWith(Cold, ColdDeclared{ColdStart});
  const auto Before = OrdersTo();
  this->Bench.advance(milliseconds(1500));
  this->Bench.endAttempt(Sent.Attempt, RelayDelivered{});
  this->Bench.advance(seconds(1));
  EXPECT_EQ(OrdersTo(), Before);
  EXPECT_EQ(this->Bench.all<AskReport>().size(), 0U);
}

/// Guards against connections that an engine resets because all hosts together
/// have more than it accepts.
TEST_F(EngineRates, AHostKeepsToItsPartOfTheConnections) {
  constexpr std::uint32_t MaxConnections = 4;
  this->configure(MaxConnections);
  for (int Count = 0; Count < 40; ++Count)
    this->Bench.arrive("/stream/1", 500);
  for (int Number = 1; Number <= 6; ++Number)
    EXPECT_LE(this->sentTo(UpstreamId("e" + std::to_string(Number))),
              MaxConnections);
  EXPECT_EQ(this->Bench.last<DispatchRelay>().MaxConnections, MaxConnections);
  EXPECT_EQ(this->Bench.all<DispatchRelay>().size(), 24U);
}

} // namespace
} // namespace banyanpick
