/// \file
/// Tests that hosts receive the configuration and the registry from peers when
/// the store does not answer.
#include "auto/gateway/GatewayBench.h"

#include "wire/DocumentCompression.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

std::shared_ptr<GatewayConfiguration> version(std::uint64_t Number) {
  auto Result = std::make_shared<GatewayConfiguration>();
  Result->Version = Number;
  return Result;
}

TEST(PeerPropagation, AnOlderConfigurationIsIgnored) {
  GatewayBench Bench;
  Bench.configure(5);
  Bench.send(
      GatewayEvent(ConfigurationRead{version(4), ConfigurationSource::Store}));
  Bench.arrive("/safe/1");
  EXPECT_TRUE(Bench.all<RefuseRelay>().empty())
      << "version 4 has no routes, version 5 has some";
}

TEST(PeerPropagation, RequestsANewerVersionFromAPeerAtOnce) {
  GatewayBench Bench;
  Bench.configure(5);
  Heartbeat Beat = heartbeatOf("h2", 10);
  Beat.InForce = 6;
  Bench.receive("h2", Beat);
  ASSERT_EQ(Bench.sent<ConfigurationRequest>().size(), 1U);
  EXPECT_EQ(Bench.sent<ConfigurationRequest>().front().NewerThan, 5U);
  Bench.receive("h2",
                ConfigurationRelayed{6, compressDocument("version 6"), 0,
                                     compressDocument("version 6").size()});
  EXPECT_EQ(Bench.last<DecodeConfiguration>().Document, "version 6");
}

/// Sends heartbeats of twenty peers, of which at least one reads the store.
void receiveHeartbeats(GatewayBench &Bench, std::uint64_t InForce) {
  constexpr std::uint16_t Peers = 20;
  for (std::uint16_t Index = 0; Index < Peers; ++Index) {
    const std::string Name = "p" + std::to_string(Index);
    Heartbeat Beat =
        heartbeatOf(Name.c_str(), static_cast<std::uint16_t>(100 + Index * 2));
    Beat.InForce = InForce;
    Beat.StoreAge = Duration(0);
    Bench.receive(Name.c_str(), Beat);
  }
}

/// Guards against a host that depends on its peers alone: a version that they
/// had but could not relay stayed unknown here for seconds.
TEST(PeerPropagation, AHostThatLacksAVersionReadsTheStoreItself) {
  GatewayBench Bench;
  Bench.configure(5);
  receiveHeartbeats(Bench, 5);
  Bench.advance(milliseconds(300));
  ASSERT_FALSE(Bench.all<FollowStore>().empty());
  ASSERT_FALSE(Bench.last<FollowStore>().Enabled) << "other hosts read it";
  // Peers have version 6 in force, and none of them sends it.
  constexpr int Rounds = 14;
  for (int Round = 0; Round < Rounds; ++Round) {
    receiveHeartbeats(Bench, 6);
    Bench.advance(milliseconds(200));
  }
  EXPECT_TRUE(Bench.last<FollowStore>().Enabled);
  Bench.configure(6);
  receiveHeartbeats(Bench, 6);
  Bench.advance(milliseconds(300));
  EXPECT_FALSE(Bench.last<FollowStore>().Enabled);
}

/// A document that can't be decompressed is requested again, from its start.
TEST(PeerPropagation, RequestsAMalformedDocumentAgain) {
  GatewayBench Bench;
  Bench.configure(5);
  Heartbeat Beat = heartbeatOf("h2", 10);
  Beat.InForce = 6;
  Bench.receive("h2", Beat);
  Bench.receive("h2", ConfigurationRelayed{6, "not compressed", 0, 14});
  EXPECT_TRUE(Bench.all<DecodeConfiguration>().empty());
  const std::size_t Before = Bench.sent<ConfigurationRequest>().size();
  Bench.receive("h2", Beat);
  Bench.advance(milliseconds(500));
  ASSERT_GT(Bench.sent<ConfigurationRequest>().size(), Before);
  EXPECT_EQ(Bench.sent<ConfigurationRequest>().back().From, 0U);
}

TEST(PeerPropagation, SendsTheConfigurationToAPeerThatLags) {
  GatewayBench Bench;
  Bench.configure(5);
  Bench.receive("h2", heartbeatOf("h2", 10));
  Bench.receive("h2", ConfigurationRequest{4});
  ASSERT_EQ(Bench.sent<ConfigurationRelayed>().size(), 1U);
  EXPECT_EQ(
      decompressDocument(Bench.sent<ConfigurationRelayed>().front().Chunk, 100),
      "version 5");
  Bench.receive("h2", ConfigurationRequest{5});
  EXPECT_EQ(Bench.sent<ConfigurationRelayed>().size(), 1U);
}

TEST(PeerPropagation, AnnouncesANewVersionToPeersAtOnce) {
  GatewayBench Bench;
  Bench.configure(5);
  Bench.receive("h2", heartbeatOf("h2", 10));
  Bench.advance(milliseconds(10));
  const std::size_t Before = Bench.sent<Heartbeat>().size();
  Bench.configure(6);
  Bench.advance(milliseconds(5));
  EXPECT_GT(Bench.sent<Heartbeat>().size(), Before);
  EXPECT_EQ(Bench.sent<Heartbeat>().back().InForce, 6U);
}

TEST(PeerPropagation, ReceivesEnginesFromAPeerThatIsAhead) {
  GatewayBench Bench;
  Bench.configure(1);
  Heartbeat Beat = heartbeatOf("h2", 10);
  Beat.EnginesKnownTo = 9;
  Beat.EnginesDigest = 1; // The peer knows an engine, this host none.
  Beat.StoreAge = Duration(0);
  Bench.receive("h2", Beat);
  Bench.advance(milliseconds(500));
  ASSERT_FALSE(Bench.sent<EnginesRequest>().empty());
  EnginesRelayed Relayed;
  EngineChange Change;
  Change.Engine.Id = UpstreamId("e1");
  Change.Engine.Service = ServiceId("desk");
  Change.Offset = 8;
  Relayed.Changes.push_back(Change);
  Relayed.UpTo = 9;
  Bench.receive("h2", Relayed);
  Bench.arrive("/once/1");
  EXPECT_EQ(Bench.last<DispatchRelay>().Engine, UpstreamId("e1"));
}

TEST(PeerPropagation, AHostThatListedLateSendsACompleteListing) {
  GatewayBench Bench;
  Bench.configure(1);
  // Two engines, listed at offset 5. Changes before that offset are unknown
  // here.
  Bench.registerEngines("desk", 2, 3);
  EnginesRead Listing;
  Listing.Complete = true;
  Listing.UpTo = 5;
  for (int Index = 1; Index <= 2; ++Index) {
    EngineChange Listed;
    Listed.Engine.Id = UpstreamId("e" + std::to_string(Index));
    Listed.Engine.Service = ServiceId("desk");
    Listed.Offset = 2 + static_cast<LogOffset>(Index);
    Listing.Changes.push_back(Listed);
  }
  Bench.send(GatewayEvent(Listing));
  Bench.receive("h2", EnginesRequest{1});
  ASSERT_EQ(Bench.sent<EnginesRelayed>().size(), 1U);
  EXPECT_TRUE(Bench.sent<EnginesRelayed>().back().Complete);
  EXPECT_EQ(Bench.sent<EnginesRelayed>().back().Changes.size(), 2U);
  // Two engines are only renewed. The third is new and the only change to send.
  Bench.registerEngines("desk", 3, 6);
  Bench.receive("h2", EnginesRequest{5});
  EXPECT_FALSE(Bench.sent<EnginesRelayed>().back().Complete);
  EXPECT_EQ(Bench.sent<EnginesRelayed>().back().Changes.size(), 1U);
}

TEST(PeerPropagation, EnginesMissingFromACompleteListingAreRemoved) {
  GatewayBench Bench;
  Bench.configure(1);
  Bench.registerEngines("desk", 1, 0);
  EnginesRelayed Relayed;
  Relayed.UpTo = 9;
  Relayed.Complete = true;
  Bench.receive("h2", Relayed);
  Bench.arrive("/once/1");
  EXPECT_TRUE(Bench.all<DispatchRelay>().empty());
}

TEST(PeerPropagation, ResolvesToReadyHostsAndOmitsLeavingOnes) {
  GatewayBench Bench;
  Bench.configure(1);
  Bench.receive("h2", heartbeatOf("h2", 10));
  Bench.send(Event(ResolveRequest{ResolveRequestId(1), TeamId(), ZoneId("z")}));
  EXPECT_EQ(Bench.resolved().size(), 2U);
  Heartbeat Leaving = heartbeatOf("h2", 10);
  Leaving.Leaving = true;
  Leaving.Ready = false;
  Leaving.Version = 1;
  Bench.receive("h2", Leaving);
  Bench.send(Event(ResolveRequest{ResolveRequestId(2), TeamId(), ZoneId("z")}));
  EXPECT_EQ(Bench.resolved().size(), 1U);
  Bench.send(Event(StopRequest{}));
  Bench.send(Event(ResolveRequest{ResolveRequestId(3), TeamId(), ZoneId("z")}));
  EXPECT_TRUE(Bench.resolved().empty());
}

TEST(PeerPropagation, DoesNotResolveToAHostWithoutAConfiguration) {
  GatewayBench Bench;
  Bench.send(Event(ResolveRequest{ResolveRequestId(1), TeamId(), ZoneId("z")}));
  EXPECT_TRUE(Bench.resolved().empty());
}

TEST(PeerPropagation, ADrainingEngineReceivesNoNewRequests) {
  GatewayBench Bench;
  Bench.configure(1);
  Bench.registerEngines("desk", 2);
  EnginesRead Read;
  EngineChange Change;
  Change.Engine.Id = UpstreamId("e1");
  Change.Engine.Service = ServiceId("desk");
  Change.Engine.Draining = true;
  Change.Offset = 10;
  Read.Changes.push_back(Change);
  Read.UpTo = 11;
  Bench.send(GatewayEvent(Read));
  for (int Index = 0; Index < 20; ++Index) {
    Bench.arrive("/once/1");
    EXPECT_EQ(Bench.last<DispatchRelay>().Engine, UpstreamId("e2"));
  }
}

} // namespace
} // namespace banyanpick
