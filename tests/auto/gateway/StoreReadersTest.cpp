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

  void expectReadingSinceStart() {
    const auto Orders = this->Bench.all<FollowStore>();
    ASSERT_FALSE(Orders.empty());
    for (const FollowStore &Order : Orders)
      EXPECT_TRUE(Order.Enabled);
  }

  GatewayBench Bench;
};

TEST_F(StoreReaders, SingleHostReads) {
  this->Bench.advance(seconds(5));
  this->expectReadingSinceStart();
}

TEST_F(StoreReaders, TheOnlyHostOfItsZoneReads) {
  this->receiveForRounds(30, milliseconds(100), 5);
  // Zone z has no other host, and the first of each zone is selected.
  this->expectReadingSinceStart();
}

/// Guards against calls to the store that grow with the hosts that read it.
TEST_F(StoreReaders, ElectedHostsReadByTurns) {
  this->receiveForRounds(30, milliseconds(100), 5);
  EXPECT_EQ(this->Bench.last<FollowStore>().Turns, 4U);
  // No peer is heard any more.
  this->Bench.advance(seconds(20));
  EXPECT_EQ(this->Bench.last<FollowStore>().Turns, 1U);
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
  ASSERT_EQ(this->Bench.all<FollowStore>().size(), 2U);
  EXPECT_FALSE(this->Bench.last<FollowStore>().Enabled);
  // No host reads the store any more: the age that peers report increases.
  this->receiveFromOneZone(60, seconds(6), 25);
  ASSERT_EQ(this->Bench.all<FollowStore>().size(), 3U);
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

/// Returns the changes of the settings for discovery through this seed.
std::vector<SettingChange> withSeed(const std::string &Seed) {
  return {{"membership", "discovery", "gossip"},
          {"membership", "seeds", Seed},
          {"membership", "heartbeat_interval", "250ms"}};
}

/// A host that is not a seed, beside one that may answer.
struct NewHost : testing::Test {
  GatewayBench Bench{withSeed("10.0.0.1:7000")};
};

TEST_F(NewHost, WaitsForItsSeedBeforeItReads) {
  this->Bench.advance(milliseconds(900));
  EXPECT_TRUE(this->Bench.all<FollowStore>().empty());
  this->Bench.advance(milliseconds(400));
  // No seed answered, so nobody else may read the store.
  ASSERT_EQ(this->Bench.all<FollowStore>().size(), 1U);
  EXPECT_TRUE(this->Bench.last<FollowStore>().Enabled);
}

TEST_F(NewHost, ReadsNothingWhilePeersAreCurrent) {
  for (int Round = 0; Round < 6; ++Round) {
    for (std::size_t Index = 0; Index < 60; ++Index)
      this->Bench.receive(fmt::format("p{}", Index).c_str(),
                          heartbeatOf(Index, milliseconds(100)));
    this->Bench.advance(milliseconds(200));
  }
  EXPECT_TRUE(this->Bench.all<FollowStore>().empty());
}

TEST_F(NewHost, ReadsAtOnceForARequestBeforeAnyConfiguration) {
  this->Bench.advance(milliseconds(50));
  this->Bench.arrive("/safe/x");
  ASSERT_EQ(this->Bench.all<FollowStore>().size(), 1U);
  EXPECT_TRUE(this->Bench.last<FollowStore>().Enabled);
}

TEST(SeedHost, ReadsTheStoreAtItsStart) {
  GatewayBench Bench(withSeed("10.0.0.1:7000,127.0.0.1:2"));
  ASSERT_EQ(Bench.all<FollowStore>().size(), 1U);
  EXPECT_TRUE(Bench.last<FollowStore>().Enabled);
}

/// Guards against a host list that grows with the hosts.
TEST_F(NewHost, IsListedOnlyIfItIsAmongTheFirst) {
  this->Bench.advance(seconds(3));
  EXPECT_EQ(this->Bench.all<AnnounceHost>().size(), 1U) << "it is alone";
  GatewayBench Other(withSeed("10.0.0.1:7000"));
  for (int Round = 0; Round < 15; ++Round) {
    for (std::size_t Index = 0; Index < 200; ++Index) {
      Heartbeat Message = heartbeatOf(Index, milliseconds(100));
      Message.KnownHosts.front().Zone = ZoneId("z");
      Other.receive(fmt::format("p{}", Index).c_str(), Message);
    }
    Other.advance(milliseconds(200));
  }
  EXPECT_TRUE(Other.all<AnnounceHost>().empty());
}

} // namespace
} // namespace banyanpick
