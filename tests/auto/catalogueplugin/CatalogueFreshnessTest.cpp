#include "auto/catalogueplugin/CatalogueBench.h"

#include <gtest/gtest.h>

namespace banyanpick {

namespace {

Heartbeat beat(LogOffset InForce, Time Confirmed) {
  Heartbeat Result;
  Result.Ready = true;
  Result.InForce = InForce;
  Result.LogConfirmedAt = Confirmed;
  return Result;
}

/// A ready host that loses the connection to the log at the start of each test.
/// The tests guard against a host that admits requests with an outdated
/// catalogue after it was cut off or paused.
struct CatalogueFreshnessTest : testing::Test {
  LogServiceModel Log;
  BenchHost Host{Log, "h1", 0xa1};
  Time CutAt{};

  void SetUp() override {
    appendChangeSet(this->Log, declareOwner("c1", "ring"));
    this->Host.catchUp();
    this->CutAt = this->Host.Now;
    ASSERT_EQ(checkAdmission(this->Host), std::nullopt);
  }

  /// Advances the clock by 5 s. The peers \p Heard send heartbeats throughout;
  /// \p PeersReachLog says whether they reach the log. The peers \p Silent are
  /// known but not heard.
  void advanceWithPeers(const std::vector<std::string> &Heard,
                        bool PeersReachLog,
                        const std::vector<std::string> &Silent = {}) {
    for (int Step = 0; Step < 10; ++Step) {
      const Time Now = this->Host.Now;
      const Time Confirmed = PeersReachLog ? Now : this->CutAt;
      this->Host.probe().Members.clear();
      for (const std::string &Peer : Heard) {
        this->Host.probe().Members.push_back(
            peerHeard(Peer, Now, Confirmed, 1));
        deliver(this->Host, Peer, beat(1, Confirmed));
      }
      for (const std::string &Peer : Silent)
        this->Host.probe().Members.push_back(
            peerHeard(Peer, this->CutAt, this->CutAt, 1));
      this->Host.advance(milliseconds(500));
    }
  }
};

} // namespace

TEST_F(CatalogueFreshnessTest,
       CutOffFromLogAndPeersStopsAdmittingWithinSixSeconds) {
  this->advanceWithPeers({}, false, {"h2", "h3"});
  ASSERT_LE(this->Host.Now, this->CutAt + seconds(6));
  EXPECT_EQ(checkAdmission(this->Host)->Reason, RefusalReason::NotCurrent);
}

TEST_F(CatalogueFreshnessTest, CutOffOnlyFromTheLogStaysCurrentThroughPeers) {
  this->advanceWithPeers({"h2"}, true, {"h3", "h4"});
  EXPECT_EQ(checkAdmission(this->Host), std::nullopt);
  EXPECT_GT(viewOf(this->Host).confirmedAt(), this->CutAt + seconds(3));
}

TEST_F(CatalogueFreshnessTest, PeerWithAHigherOffsetConfirmsNothing) {
  for (int Step = 0; Step < 10; ++Step) {
    deliver(this->Host, "h2", beat(2, this->Host.Now));
    this->Host.probe().Members = {
        peerHeard("h2", this->Host.Now, this->Host.Now, 2)};
    this->Host.advance(milliseconds(500));
  }
  EXPECT_EQ(checkAdmission(this->Host)->Reason, RefusalReason::NotCurrent);
}

TEST_F(CatalogueFreshnessTest, CommonLogOutageKeepsTheCatalogueInForce) {
  this->advanceWithPeers({"h2", "h3"}, false, {"h4"});
  EXPECT_EQ(checkAdmission(this->Host), std::nullopt);
  EXPECT_LE(viewOf(this->Host).confirmedAt(), this->CutAt)
      << "hosts without the log confirmed each other";
}

TEST_F(CatalogueFreshnessTest, CutOffWithAMinorityStopsAdmitting) {
  this->advanceWithPeers({"h2"}, false, {"h3", "h4"});
  EXPECT_EQ(checkAdmission(this->Host)->Reason, RefusalReason::NotCurrent);
}

TEST_F(CatalogueFreshnessTest, PauseIsDetectedBeforeAnyRequestIsAdmitted) {
  this->Host.probe().Members = {peerHeard("h2", CutAt, CutAt, 1),
                                peerHeard("h3", CutAt, CutAt, 1)};
  this->Host.Now += seconds(60);
  EXPECT_EQ(checkAdmission(this->Host)->Reason, RefusalReason::NotCurrent);
  this->Host.catchUp();
  EXPECT_EQ(checkAdmission(this->Host), std::nullopt);
}

TEST_F(CatalogueFreshnessTest, LateAnswerConfirmsOnlyTheTimeOfItsRequest) {
  this->Host.advance(milliseconds(50));
  const Time RequestedAt = this->Host.Now;
  this->Host.Now += seconds(60);
  this->Host.answerRead();
  EXPECT_LE(viewOf(this->Host).confirmedAt(), RequestedAt);
}

} // namespace banyanpick
