/// \file
/// Checks that only a few hosts read the store, and that a host reads it itself
/// when it knows of no recent read by another one.
#include "auto/gateway/GatewayBench.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace banyanpick {
namespace {

/// Returns a heartbeat of the host with this number, in one of three zones.
Heartbeat heartbeatOf(std::size_t Number, Duration StoreAge) {
  Heartbeat Message;
  Message.Ready = true;
  Message.InForce = 1;
  Message.StoreAge = StoreAge;
  HostListing Self;
  Self.Id = HostId(fmt::format("p{}", Number));
  Self.Zone = ZoneId(fmt::format("z{}", Number % 3));
  Self.Callers = {"127.0.0.1", static_cast<std::uint16_t>(1000 + Number)};
  Self.Peers = {"127.0.0.1", static_cast<std::uint16_t>(2000 + Number)};
  Message.KnownHosts = {Self};
  return Message;
}

/// A host in zone `z` that receives heartbeats from several peers.
class StoreReaders : public testing::Test {
protected:
  StoreReaders() {
    this->Bench.configure(1);
    this->Bench.registerEngines("desk", 1);
  }

  void receiveHeartbeats(std::size_t Peers, Duration StoreAge) {
    for (std::size_t Index = 0; Index < Peers; ++Index)
      this->Bench.receive(fmt::format("p{}", Index).c_str(),
                          heartbeatOf(Index, StoreAge));
  }
  /// Receives heartbeats from all peers while the time advances.
  void receiveForRounds(std::size_t Peers, Duration StoreAge, int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      this->receiveHeartbeats(Peers, StoreAge);
      this->Bench.advance(milliseconds(200));
    }
  }

  GatewayBench Bench;
};

TEST_F(StoreReaders, SingleHostReads) {
  this->Bench.advance(seconds(5));
  EXPECT_TRUE(this->Bench.all<FollowStore>().empty())
      << "a host reads the store from its start";
}

TEST_F(StoreReaders, TheOnlyHostOfItsZoneReads) {
  this->receiveForRounds(30, milliseconds(100), 5);
  EXPECT_TRUE(this->Bench.all<FollowStore>().empty())
      << "zone z has no other host, and the first of each zone is selected";
}

/// All peers are in the host's own zone, so that their hash order decides.
class StoreReadersInOneZone : public StoreReaders {
protected:
  void receiveFromOneZone(std::size_t Peers, Duration StoreAge, int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      for (std::size_t Index = 0; Index < Peers; ++Index) {
        Heartbeat Message = heartbeatOf(Index, StoreAge);
        Message.KnownHosts.front().Zone = ZoneId("z");
        this->Bench.receive(fmt::format("p{}", Index).c_str(), Message);
      }
      this->Bench.advance(milliseconds(200));
    }
  }
};

TEST_F(StoreReadersInOneZone, MostHostsStopReadingAndResumeWhenNobodyReads) {
  this->receiveFromOneZone(60, milliseconds(100), 5);
  ASSERT_EQ(this->Bench.all<FollowStore>().size(), 1U);
  EXPECT_FALSE(this->Bench.last<FollowStore>().Enabled);
  // No host reads the store any more: the age that peers report increases.
  this->receiveFromOneZone(60, seconds(6), 25);
  ASSERT_EQ(this->Bench.all<FollowStore>().size(), 2U);
  EXPECT_TRUE(this->Bench.last<FollowStore>().Enabled);
}

TEST_F(StoreReadersInOneZone, HostWithoutHeartbeatsReads) {
  this->receiveFromOneZone(60, milliseconds(100), 5);
  ASSERT_FALSE(this->Bench.last<FollowStore>().Enabled);
  this->Bench.advance(milliseconds(1400));
  EXPECT_TRUE(this->Bench.last<FollowStore>().Enabled);
}

TEST_F(StoreReadersInOneZone, RegistryChangesAreSentAtOnce) {
  this->receiveFromOneZone(3, milliseconds(100), 2);
  const std::size_t Before = this->Bench.sent<Heartbeat>().size();
  this->Bench.registerEngines("desk", 2, 5);
  this->Bench.advance(milliseconds(100));
  EXPECT_GT(this->Bench.sent<Heartbeat>().size(), Before);
  EXPECT_EQ(this->Bench.sent<Heartbeat>().back().EnginesKnownTo, 7U);
  EXPECT_LT(this->Bench.sent<Heartbeat>().back().StoreAge, milliseconds(100))
      << "its own read is newer than those that peers reported";
}

TEST_F(StoreReadersInOneZone, PeerWithNewerRegistryIsAskedAtOnce) {
  this->receiveFromOneZone(3, milliseconds(100), 2);
  Heartbeat Message = heartbeatOf(1, Duration(0));
  Message.EnginesKnownTo = 50;
  this->Bench.receive("p1", Message);
  ASSERT_EQ(this->Bench.sent<EnginesRequest>().size(), 1U);
  EXPECT_EQ(this->Bench.sent<EnginesRequest>().front().From, 1U);
}

} // namespace
} // namespace banyanpick
