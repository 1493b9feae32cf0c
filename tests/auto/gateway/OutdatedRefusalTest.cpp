/// \file
/// Guards against a final refusal by a configuration that may be outdated: a
/// caller is told that a route or key doesn't exist although a newer version
/// has it.
#include "auto/gateway/GatewayBench.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

class OutdatedRefusal : public testing::Test {
protected:
  OutdatedRefusal() {
    this->Bench.configure(5);
    this->Bench.registerEngines("desk", 2);
    this->hear(5);
  }

  /// Receives a heartbeat of a peer that has the version in force.
  void hear(std::uint64_t Version) {
    Heartbeat Beat;
    Beat.Sequence = 1;
    Beat.Ready = true;
    Beat.InForce = Version;
    this->Bench.receive("h2", Beat);
  }

  /// Receives a heartbeat of a peer that knows a version to be in force
  /// elsewhere. The heartbeat waited for the control thread.
  void hearOf(const VersionInForce &Version, Duration Waited = {}) {
    Heartbeat Beat = heartbeatOf("h2", 10);
    Beat.InForce = 5;
    Beat.RecentVersions.push_back(Version);
    this->Bench.send(Event(PeerMessageReceived{
        {HostId("h2"), Incarnation(1), Beat}, this->Bench.Now - Waited}));
  }

  /// Sends a request with an unknown key.
  void arriveWithUnknownKey() {
    RelayHead Head = GatewayBench::headOf(RequestId(99), "/safe/1");
    Head.Key = "unknown";
    this->Bench.send(GatewayEvent(RelayArrived{Head}));
  }

  RefuseRelay refused() const { return this->Bench.last<RefuseRelay>(); }

  GatewayBench Bench;
};

TEST_F(OutdatedRefusal, OfAnUnknownRouteIsNotFinalWhileAVersionIsMissing) {
  this->hear(6);
  this->Bench.arrive("/nowhere/1");
  EXPECT_EQ(this->refused().Kind, RefusalKind::NotRun);
  EXPECT_GT(this->refused().RetryAfter, Duration(0));
}

TEST_F(OutdatedRefusal, OfAnUnknownKeyIsNotFinalWhileAVersionIsMissing) {
  this->hear(6);
  this->arriveWithUnknownKey();
  EXPECT_EQ(this->refused().Kind, RefusalKind::NotRun);
}

TEST_F(OutdatedRefusal, DoesNotAffectKnownRoutes) {
  this->hear(6);
  this->Bench.arrive("/safe/1");
  EXPECT_EQ(this->Bench.all<DispatchRelay>().size(), 1U);
  EXPECT_TRUE(this->Bench.all<RefuseRelay>().empty());
}

TEST_F(OutdatedRefusal, IsFinalOnceTheVersionIsInForce) {
  this->hear(6);
  this->Bench.configure(6);
  this->Bench.arrive("/nowhere/1");
  EXPECT_EQ(this->refused().Kind, RefusalKind::NoSuchRoute);
}

TEST_F(OutdatedRefusal, IsNotFinalOnAHostThatHearsNothing) {
  this->Bench.advance(seconds(3));
  this->Bench.arrive("/nowhere/1");
  EXPECT_EQ(this->refused().Kind, RefusalKind::NotRun);
}

TEST_F(OutdatedRefusal, IsNotFinalAfterGossipOfANewerVersion) {
  this->hearOf({6, Duration(0)});
  this->Bench.arrive("/nowhere/1");
  EXPECT_EQ(this->refused().Kind, RefusalKind::NotRun);
}

TEST_F(OutdatedRefusal, CountsFromWhenTheVersionWasInForceElsewhere) {
  this->hearOf({6, milliseconds(2400)});
  this->Bench.arrive("/safe/1");
  EXPECT_TRUE(this->Bench.all<RefuseRelay>().empty());
  this->Bench.advance(milliseconds(200));
  this->Bench.arrive("/safe/2");
  EXPECT_EQ(this->refused().Kind, RefusalKind::NotRun);
}

TEST_F(OutdatedRefusal, CountsTheTimeThatTheReportWaited) {
  this->hearOf({6, milliseconds(1500)}, milliseconds(1000));
  this->Bench.arrive("/safe/1");
  EXPECT_EQ(this->refused().Kind, RefusalKind::NotRun);
}

TEST_F(OutdatedRefusal, PassesOnVersionsThatThisHostLacks) {
  this->hearOf({6, milliseconds(1000)});
  this->Bench.advance(seconds(1));
  const auto Beats = this->Bench.sent<Heartbeat>();
  ASSERT_FALSE(Beats.empty());
  ASSERT_FALSE(Beats.back().RecentVersions.empty());
  EXPECT_EQ(Beats.back().RecentVersions.back().Version, 6U);
  EXPECT_GE(Beats.back().RecentVersions.back().Age, milliseconds(1000));
}

} // namespace
} // namespace banyanpick
