/// \file
/// Tests that hosts divide an engine's connections. An engine resets the
/// connections beyond its limit, and requests on them are lost.
#include "plugins/enginelimits/ConnectionUse.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

constexpr Time Begin = Time(seconds(1000));
const UpstreamId Engine("e1");

RelayAttempt attempt(std::uint64_t Number) {
  RelayAttempt Result;
  Result.Id.Sequence = Number;
  Result.Engine = Engine;
  Result.Service = ServiceId("ring");
  return Result;
}

EngineWork::Item work(std::uint32_t Running) {
  EngineWork::Item Result;
  Result.Engine = Engine;
  Result.Decoding = Running;
  return Result;
}

TEST(ConnectionUse, MayExceedThePartWhileTheEngineHasManyLeft) {
  ConnectionUse Use;
  for (std::uint64_t Number = 1; Number <= 12; ++Number)
    Use.begin(attempt(Number));
  EXPECT_TRUE(Use.mayOpen(Engine, 100, 0.1));
  EXPECT_TRUE(Use.mayOpen(Engine, 0, 0.1)) << "no limit is declared";
  EXPECT_FALSE(Use.mayOpen(Engine, 20, 0.1));
}

TEST(ConnectionUse, KeepsToThePartWhilePeersUseTheRest) {
  ConnectionUse Use;
  const HostId Peer("h2");
  const EngineWork::Item Many = work(60);
  Use.takePeer(Peer, {&Many, 1}, Begin);
  for (std::uint64_t Number = 1; Number <= 9; ++Number)
    Use.begin(attempt(Number));
  EXPECT_TRUE(Use.mayOpen(Engine, 100, 0.1));
  Use.begin(attempt(10));
  EXPECT_FALSE(Use.mayOpen(Engine, 100, 0.1));
  Use.end(attempt(3));
  EXPECT_TRUE(Use.mayOpen(Engine, 100, 0.1));
}

TEST(ConnectionUse, ForgetsPeersThatNoLongerReport) {
  ConnectionUse Use;
  const EngineWork::Item Many = work(60);
  Use.takePeer(HostId("h2"), {&Many, 1}, Begin);
  for (std::uint64_t Number = 1; Number <= 10; ++Number)
    Use.begin(attempt(Number));
  EXPECT_FALSE(Use.mayOpen(Engine, 100, 0.1));
  Use.takePeer(HostId("h3"), {}, Begin + seconds(20));
  EXPECT_TRUE(Use.mayOpen(Engine, 100, 0.1));
}

RC_GTEST_PROP(ConnectionPart, PartsOfAllHostsStayWithinTheLimit, ()) {
  const auto Hosts = *rc::gen::inRange<std::uint32_t>(1, 100);
  const auto Limit = Hosts + *rc::gen::inRange<std::uint32_t>(0, 1000);
  RC_ASSERT(connectionPart(Limit, 1.0 / Hosts) * Hosts <= Limit);
}

} // namespace
} // namespace banyanpick
