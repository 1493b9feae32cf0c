/// \file
/// Tests that reports of peers hold back engines, unless the peer is faulty or
/// this host has newer results.
#include "plugins/enginetrust/PeerDistrust.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr std::size_t Engines = 12;
const HostId Peer("h2");
const UpstreamId Engine("e1");

Time at(int Ms) { return Time(seconds(100) + milliseconds(Ms)); }

std::vector<EngineWork::Distrust> reported(int Count, double SinceMs = 0) {
  std::vector<EngineWork::Distrust> Result;
  for (int Index = 1; Index <= Count; ++Index)
    Result.push_back({UpstreamId("e" + std::to_string(Index)), SinceMs, 500});
  return Result;
}

TEST(PeerDistrust, HoldsBackSlightlyLongerThanThePeer) {
  PeerDistrust Peers;
  Peers.take(Peer, reported(1), Engines, at(0));
  EXPECT_TRUE(Peers.isHeldBack(Engine, at(510)));
  EXPECT_FALSE(Peers.isHeldBack(Engine, at(1000)));
  EXPECT_FALSE(Peers.isHeldBack(UpstreamId("e2"), at(0)));
}

TEST(PeerDistrust, IgnoresAPeerThatDistrustsManyEngines) {
  PeerDistrust Peers;
  Peers.take(Peer, reported(2), Engines, at(0));
  Peers.take(Peer, reported(4), Engines, at(5));
  EXPECT_EQ(Peers.size(), 0U);
}

TEST(PeerDistrust, ReportsOfAnotherServiceStayValid) {
  PeerDistrust Peers;
  const std::vector<EngineWork::Distrust> Desk{{UpstreamId("d1"), 0, 500}};
  EXPECT_EQ(Peers.take(Peer, Desk, 3, at(0)), 1U);
  EXPECT_EQ(Peers.take(Peer, reported(4), Engines, at(5)), 0U);
  EXPECT_TRUE(Peers.isHeldBack(UpstreamId("d1"), at(10)));
  EXPECT_FALSE(Peers.isHeldBack(Engine, at(10)));
}

TEST(PeerDistrust, CountsANewlyHeldBackEngineOnce) {
  PeerDistrust Peers;
  EXPECT_EQ(Peers.take(Peer, reported(1), Engines, at(0)), 1U);
  EXPECT_EQ(Peers.take(Peer, reported(1), Engines, at(100)), 0U);
  // The first report has expired and is replaced.
  EXPECT_EQ(Peers.take(Peer, reported(1), Engines, at(2000)), 1U);
}

TEST(PeerDistrust, AnAnswerToALaterAttemptTakesPrecedence) {
  PeerDistrust Peers;
  Peers.take(Peer, reported(1, 50), Engines, at(100));
  Peers.noteHealthy(Engine, at(40));
  EXPECT_TRUE(Peers.isHeldBack(Engine, at(110)));
  Peers.noteHealthy(Engine, at(60));
  EXPECT_FALSE(Peers.isHeldBack(Engine, at(110)));
  Peers.take(Peer, reported(1, 70), Engines, at(120));
  EXPECT_FALSE(Peers.isHeldBack(Engine, at(121)))
      << "a repeated report of the same ejection";
}

TEST(PeerDistrust, AcceptsDistrustOfOneInThreeEngines) {
  PeerDistrust Peers;
  Peers.take(Peer, reported(1), 3, at(0));
  EXPECT_TRUE(Peers.isHeldBack(Engine, at(1)));
}

} // namespace
} // namespace banyanpick
