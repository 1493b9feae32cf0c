/// \file
/// Checks failure detection between entry hosts that are killed, frozen,
/// restarted, stopped or partitioned.
#include <gtest/gtest.h>

#include "HostGroup.h"

namespace banyanpick {
namespace {

constexpr MemberState Alive = MemberState::Alive;
constexpr MemberState Dead = MemberState::Dead;

TEST(MembershipTest, HostsDiscoverEachOther) {
  HostGroup Group(5);
  Group.run(2);
  for (std::size_t From = 0; From < 5; ++From) {
    EXPECT_EQ(Group.at(From).livePeers().size(), 4u);
    for (const Member &Peer : Group.at(From).peers())
      EXPECT_EQ(Peer.State, Alive);
  }
}

TEST(MembershipTest, KilledHostIsDeadOnAllHosts) {
  HostGroup Group(5);
  Group.run(3);
  Group.end(2);
  Group.run(10);
  for (const std::size_t From : {0, 1, 3, 4}) {
    EXPECT_EQ(Group.memberSeenBy(From, 2).State, Dead);
    EXPECT_TRUE(Group.at(From).isDead(HostGroup::name(2), Incarnation(3)));
    EXPECT_EQ(Group.at(From).livePeers().size(), 3u);
  }
}

TEST(MembershipTest, RestartReplacesTheIncarnation) {
  HostGroup Group(3);
  Group.run(3);
  // The new incarnation has the lower number: incarnations are not ordered.
  Group.start(2, 1);
  EXPECT_FALSE(Group.at(0).isDead(HostGroup::name(2), Incarnation(3)));
  Group.run(4.5);
  EXPECT_TRUE(Group.at(0).isDead(HostGroup::name(2), Incarnation(3)));
  EXPECT_FALSE(Group.at(0).isDead(HostGroup::name(2), Incarnation(1)));
  EXPECT_EQ(Group.memberSeenBy(0, 2).State, Alive);
}

TEST(MembershipTest, LateMessageOfAnUnknownIncarnationIsIgnored) {
  HostGroup Group(3);
  Group.run(3);
  const PeerMessage Late{HostGroup::name(2), Incarnation(77), Heartbeat{}};
  Group.feed(0, PeerMessageReceived{Late});
  Group.run(6);
  EXPECT_FALSE(Group.at(0).isDead(HostGroup::name(2), Incarnation(3)));
  EXPECT_EQ(Group.memberSeenBy(0, 2).Life, Incarnation(3));
  EXPECT_EQ(Group.memberSeenBy(0, 2).State, Alive);
}

TEST(MembershipTest, FrozenHostReturnsWithTheSameIncarnation) {
  HostGroup Group(4);
  Group.run(3);
  Group.freeze(1);
  Group.run(12);
  EXPECT_EQ(Group.memberSeenBy(0, 1).State, Dead);
  Group.resume(1);
  Group.run(16);
  for (const std::size_t From : {0, 2, 3})
    EXPECT_EQ(Group.memberSeenBy(From, 1).State, Alive);
  // The resumed host suspects no other host: it was paused itself.
  EXPECT_EQ(Group.at(1).livePeers().size(), 3u);
}

TEST(MembershipTest, PartitionedHostsStayAliveThroughAThird) {
  HostGroup Group(4);
  Group.run(3);
  Group.partition(0, 1);
  for (int Second = 4; Second < 40; ++Second) {
    Group.run(Second);
    EXPECT_FALSE(Group.at(0).isDead(HostGroup::name(1), Incarnation(2)));
    EXPECT_NE(Group.memberSeenBy(2, 0).State, Dead);
  }
}

TEST(MembershipTest, HealedPartitionReconnectsBothSides) {
  HostGroup Group(4);
  Group.run(3);
  for (const std::size_t Left : {0, 1})
    for (const std::size_t Right : {2, 3})
      Group.partition(Left, Right);
  Group.run(15);
  EXPECT_EQ(Group.memberSeenBy(0, 3).State, Dead);
  Group.heal();
  Group.run(25);
  for (std::size_t From = 0; From < 4; ++From)
    EXPECT_EQ(Group.at(From).livePeers().size(), 3u);
}

TEST(MembershipTest, LeavingIsReportedAtOnceAndIsPermanent) {
  HostGroup Group(4);
  Group.run(3);
  Group.feed(1, StopRequest{});
  Group.run(3.1);
  EXPECT_EQ(Group.memberSeenBy(0, 1).State, MemberState::Leaving);
  EXPECT_TRUE(Group.at(0).hasLeft(HostGroup::name(1), Incarnation(2)));
  Group.run(10);
  EXPECT_EQ(Group.memberSeenBy(0, 1).State, MemberState::Leaving);
  Group.end(1);
  Group.run(20);
  EXPECT_EQ(Group.memberSeenBy(0, 1).State, Dead);
  EXPECT_TRUE(Group.at(0).hasLeft(HostGroup::name(1), Incarnation(2)));
}

/// With many hosts each sends heartbeats only to a few. The death of a host
/// still reaches all of them.
TEST(MembershipTest, DeathReachesAllOfManyHosts) {
  constexpr std::size_t Hosts = 64;
  HostGroup Group(Hosts);
  Group.run(40);
  EXPECT_EQ(Group.at(5).livePeers().size(), Hosts - 1);
  Group.end(7);
  Group.run(70);
  for (std::size_t From = 0; From < Hosts; ++From)
    if (From != 7) {
      EXPECT_EQ(Group.memberSeenBy(From, 7).State, Dead);
      EXPECT_EQ(Group.at(From).livePeers().size(), Hosts - 2);
    }
}

/// The number of messages does not grow with the number of hosts.
TEST(MembershipTest, MessagesPerHostAreBounded) {
  std::map<std::size_t, std::uint64_t> PerHost;
  for (const std::size_t Hosts : {40, 120}) {
    HostGroup Group(Hosts);
    Group.run(30);
    Group.MessagesSent.clear();
    Group.run(40);
    std::uint64_t Sum = 0;
    for (const auto &[Host, Count] : Group.MessagesSent)
      Sum += Count;
    PerHost[Hosts] = Sum / Hosts;
  }
  EXPECT_LE(PerHost[120], PerHost[40] * 11 / 10);
  EXPECT_LE(PerHost[120], 10u * 10);
}

} // namespace
} // namespace banyanpick
