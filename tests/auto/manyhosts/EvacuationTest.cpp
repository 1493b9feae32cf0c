/// \file
/// Tests that evacuations take effect on a hundred hosts, of which few read the
/// store.
#include "auto/manyhosts/SimulationLoad.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr std::size_t HostCount = 100;
constexpr std::size_t EngineCount = 50;
constexpr std::size_t Zone = 2;
constexpr milliseconds RequestInterval(8);

/// The objective for an evacuation to take effect.
constexpr seconds EffectiveWithin(2);

/// A hundred hosts that know each other and serve requests.
class EvacuatedHosts : public testing::Test {
protected:
  EvacuatedHosts() : Simulation(HostCount, EngineCount) {
    this->Simulation.publish(1);
    this->Simulation.run(seconds(25));
  }

  /// Returns the number of requests that reached the zone's engines.
  std::size_t arrivalsSince(Time From) {
    std::size_t Result = 0;
    for (std::size_t Engine = 0; Engine < EngineCount; ++Engine)
      if (this->Simulation.zoneOf(Engine) == Zone)
        Result += countSince(this->Simulation.arrivals(Engine), From);
    return Result;
  }
  void load(Duration For) { offerLoad(this->Simulation, For, RequestInterval); }
  std::size_t evacuatedAt() const {
    std::size_t Result = 0;
    for (std::size_t Host = 0; Host < HostCount; ++Host)
      Result += this->Simulation.isRunning(Host) &&
                        this->Simulation.isEvacuated(Host, Zone)
                    ? 1
                    : 0;
    return Result;
  }

  HostSimulation Simulation;
};

/// Guards against hosts that do not learn of an evacuation in time, against
/// requests that are lost because of it, and against a zone that stays unused.
TEST_F(EvacuatedHosts, SendNothingToTheZoneUntilItIsTakenBack) {
  this->load(seconds(2));
  EXPECT_GT(this->arrivalsSince(Time{}), 0U);
  this->Simulation.takeTally();
  this->Simulation.evacuate(Zone, true);
  const Time From = this->Simulation.now();
  this->load(seconds(6));
  EXPECT_EQ(this->arrivalsSince(From + EffectiveWithin), 0U);
  EXPECT_EQ(this->evacuatedAt(), HostCount);
  EXPECT_EQ(lostRequests(this->Simulation.takeTally()), 0U)
      << "the other zones have room for all requests";
  this->Simulation.evacuate(Zone, false);
  const Time Ended = this->Simulation.now();
  this->load(seconds(4));
  EXPECT_EQ(this->evacuatedAt(), 0U);
  EXPECT_GT(this->arrivalsSince(Ended), 0U);
}

/// Guards against an evacuation that depends on the hosts which usually read
/// the store: it refuses all of them but one.
TEST_F(EvacuatedHosts, LearnItFromTheOnlyHostThatTheStoreServes) {
  bool Served = false;
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    if (!this->Simulation.isStoreReader(Host) || std::exchange(Served, true))
      this->Simulation.refuseStoreReads(Host);
  ASSERT_TRUE(Served);
  this->Simulation.evacuate(Zone, true);
  const Time From = this->Simulation.now();
  this->load(seconds(4));
  EXPECT_EQ(this->arrivalsSince(From + EffectiveWithin), 0U);
}

/// Guards against hosts that miss an evacuation because all usual readers are
/// refused. The bound of an unsettled store applies: 5 s and 6 s more.
TEST_F(EvacuatedHosts, LearnItFromADeputyWhenAllReadersAreRefused) {
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    if (this->Simulation.isStoreReader(Host))
      this->Simulation.refuseStoreReads(Host);
  this->Simulation.evacuate(Zone, true);
  const Time From = this->Simulation.now();
  this->load(seconds(7));
  EXPECT_EQ(this->arrivalsSince(From + seconds(5)), 0U);
}

/// Guards against a host that was cut off during the change: what it knows must
/// be corrected when it hears its peers again, and must not spread.
TEST_F(EvacuatedHosts, CorrectAHostThatWasCutOff) {
  constexpr std::size_t CutOff = 57;
  this->Simulation.evacuate(Zone, true);
  this->Simulation.run(EffectiveWithin);
  this->Simulation.setPartitioned(CutOff, true);
  this->Simulation.refuseStoreReads(CutOff);
  this->Simulation.evacuate(Zone, false);
  this->Simulation.run(seconds(6));
  EXPECT_EQ(this->evacuatedAt(), 1U) << "a host that hears nothing keeps it";
  this->Simulation.setPartitioned(CutOff, false);
  this->Simulation.run(EffectiveWithin);
  EXPECT_EQ(this->evacuatedAt(), 0U);
  this->Simulation.setPartitioned(CutOff, true);
  this->Simulation.evacuate(Zone, true);
  this->Simulation.run(seconds(6));
  EXPECT_EQ(this->evacuatedAt(), HostCount - 1);
  this->Simulation.setPartitioned(CutOff, false);
  this->Simulation.run(EffectiveWithin);
  EXPECT_EQ(this->evacuatedAt(), HostCount);
}

/// Guards against an old record that returns from a host which was cut off,
/// after all other hosts restarted and the store dropped its history.
TEST_F(EvacuatedHosts, AnOldRecordDoesNotReturnAfterRestarts) {
  constexpr std::size_t CutOff = 57;
  this->Simulation.evacuate(Zone, true);
  this->Simulation.run(EffectiveWithin);
  this->Simulation.setPartitioned(CutOff, true);
  this->Simulation.refuseStoreReads(CutOff);
  this->Simulation.evacuate(Zone, false);
  this->Simulation.run(seconds(2));
  this->Simulation.dropEvacuationHistory();
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    if (Host != CutOff)
      this->Simulation.kill(Host);
  this->Simulation.run(seconds(1));
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    if (Host != CutOff)
      this->Simulation.restart(Host);
  this->Simulation.run(seconds(8));
  EXPECT_EQ(this->evacuatedAt(), 1U);
  this->Simulation.setPartitioned(CutOff, false);
  this->Simulation.run(seconds(4));
  EXPECT_EQ(this->evacuatedAt(), 0U);
}

/// Guards against a restarted host that sends requests to the zone before it
/// knows of the evacuation, when it can't read the store.
TEST_F(EvacuatedHosts, ARestartedHostLearnsItFromItsFirstHeartbeats) {
  constexpr std::size_t Restarted = 33;
  this->Simulation.evacuate(Zone, true);
  this->Simulation.run(EffectiveWithin);
  this->Simulation.refuseStoreReads(Restarted);
  this->Simulation.kill(Restarted);
  this->Simulation.run(seconds(1));
  this->Simulation.restart(Restarted);
  const Time From = this->Simulation.now();
  this->load(seconds(4));
  EXPECT_TRUE(this->Simulation.isEvacuated(Restarted, Zone));
  EXPECT_EQ(this->arrivalsSince(From), 0U);
}

} // namespace
} // namespace banyanpick
