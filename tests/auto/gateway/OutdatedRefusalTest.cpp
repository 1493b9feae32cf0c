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

  /// Sends a request with an unknown key.
  void arriveWithUnknownKey() {
    RelayHead Head;
    Head.Id = RequestId(99);
    Head.Host = "a.example";
    Head.Path = "/safe/1";
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

} // namespace
} // namespace banyanpick
