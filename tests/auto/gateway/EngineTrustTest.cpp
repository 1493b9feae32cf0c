/// \file
/// Tests the distrust that peers report, where hosts serve several services.
#include "auto/gateway/GatewayBench.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

EngineWork distrusting(const std::vector<std::string> &Engines) {
  EngineWork Result;
  for (const std::string &Engine : Engines)
    Result.Distrusted.push_back({UpstreamId(Engine), 0, 500});
  return Result;
}

/// Returns which engines of `desk` get the next requests.
std::set<std::string> used(GatewayBench &Bench) {
  std::set<std::string> Result;
  for (int Index = 0; Index < 12; ++Index) {
    Bench.arrive("/once/1");
    Result.insert(Bench.last<DispatchRelay>().Engine.Value);
    Bench.advance(milliseconds(1));
  }
  return Result;
}

/// A service with three engines and one with twelve.
struct TwoServices : GatewayBench {
  TwoServices() {
    this->configure(1);
    GatewayEvent Listed = EnginesRead{};
    auto &Read = std::get<EnginesRead>(Listed);
    Read.Complete = true;
    Read.UpTo = 20;
    for (LogOffset At = 0; At < 15; ++At) {
      EngineChange Change;
      const bool IsDesk = At < 3;
      Change.Engine.Id = UpstreamId((IsDesk ? "d" : "r") + std::to_string(At));
      Change.Engine.Service = ServiceId(IsDesk ? "desk" : "ring");
      Change.Engine.At = {"10.0.0.1", static_cast<std::uint16_t>(100 + At)};
      Change.Engine.Slots = 6;
      Change.Offset = At + 1;
      Read.Changes.push_back(Change);
    }
    this->send(std::move(Listed));
  }
};

TEST(EngineTrust, PeerReportsAreJudgedPerService) {
  TwoServices Bench;
  // Two of three engines are too many to distrust, whatever else is reported.
  Bench.receive("h2", distrusting({"r5", "d0", "d1"}));
  EXPECT_EQ(used(Bench), (std::set<std::string>{"d0", "d1", "d2"}));
}

TEST(EngineTrust, AnUnknownEngineDoesNotHideOthers) {
  TwoServices Bench;
  Bench.receive("h2", distrusting({"unknown", "d0"}));
  EXPECT_EQ(used(Bench), (std::set<std::string>{"d1", "d2"}));
}

} // namespace
} // namespace banyanpick
