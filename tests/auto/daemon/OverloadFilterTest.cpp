/// \file
/// Guards against an overloaded host that drops all heartbeats, and with them
/// the news that its configuration is outdated.
#include "app/OverloadFilter.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr Time Now(seconds(100));

PeerMessage heartbeat() {
  Heartbeat Beat;
  Beat.Updates.resize(1);
  Beat.KnownHosts.resize(1);
  Beat.RecentVersions.push_back({6, Duration(0)});
  return {HostId("h2"), Incarnation(1), Beat};
}

TEST(OverloadFilter, AcceptsAHeartbeatWithItsVersionsAndWithoutGossip) {
  OverloadFilter Filter;
  PeerMessage Message = heartbeat();
  ASSERT_TRUE(Filter.accept(Message, Now));
  const auto &Beat = std::get<Heartbeat>(Message.Body);
  EXPECT_TRUE(Beat.Updates.empty());
  EXPECT_TRUE(Beat.KnownHosts.empty());
  EXPECT_EQ(Beat.RecentVersions.size(), 1U);
}

TEST(OverloadFilter, AcceptsFewHeartbeats) {
  OverloadFilter Filter;
  std::size_t Accepted = 0;
  for (int Millisecond = 0; Millisecond < 1000; ++Millisecond) {
    PeerMessage Message = heartbeat();
    Accepted += Filter.accept(Message, Now + milliseconds(Millisecond)) ? 1 : 0;
  }
  EXPECT_EQ(Accepted, 10U);
}

TEST(OverloadFilter, DropsOtherMessages) {
  OverloadFilter Filter;
  PeerMessage Message{HostId("h2"), Incarnation(1), ConfigurationRequest{1}};
  EXPECT_FALSE(Filter.accept(Message, Now));
}

} // namespace
} // namespace banyanpick
