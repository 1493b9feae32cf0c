/// \file
/// Distrust that peers tell, where hosts serve several services.
#include "auto/gateway/GatewayBench.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

EngineWork distrusting(const std::vector<std::string> &Engines) {
  EngineWork Result;
  for (const std::string &Each : Engines)
    Result.Distrusted.push_back({UpstreamId(Each), 0, 500});
  return Result;
}

/// Which engines of `desk` get the next requests.
std::set<std::string> used(GatewayBench &Bench) {
  std::set<std::string> Result;
  for (int Each = 0; Each < 12; ++Each) {
    Bench.arrive("/once/1");
    Result.insert(Bench.last<DispatchRelay>().Engine.Value);
    Bench.advance(milliseconds(1));
  }
  return Result;
}

/// A service of three engines beside one of many.
struct TwoServices : GatewayBench {
  TwoServices() {
    this->configure(1);
    GatewayEvent Listed = EnginesRead{};
    auto &Read = std::get<EnginesRead>(Listed);
    Read.Complete = true;
    Read.UpTo = 20;
    for (LogOffset At = 0; At < 15; ++At) {
      EngineChange Each;
      const bool IsDesk = At < 3;
      Each.Engine.Id = UpstreamId((IsDesk ? "d" : "r") + std::to_string(At));
      Each.Engine.Service = ServiceId(IsDesk ? "desk" : "ring");
      Each.Engine.At = {"10.0.0.1", static_cast<std::uint16_t>(100 + At)};
      Each.Engine.Slots = 6;
      Each.Offset = At + 1;
      Read.Changes.push_back(Each);
    }
    this->send(std::move(Listed));
  }
};

TEST(EngineTrust, APeersWordIsWeighedForEachServiceApart) {
  TwoServices Bench;
  // Two of the three are too many to be believed, whatever else is named.
  Bench.receive("h2", distrusting({"r5", "d0", "d1"}));
  EXPECT_EQ(used(Bench), (std::set<std::string>{"d0", "d1", "d2"}));
}

TEST(EngineTrust, AnEngineThatIsNotKnownHereHidesNoOther) {
  TwoServices Bench;
  Bench.receive("h2", distrusting({"unknown", "d0"}));
  EXPECT_EQ(used(Bench), (std::set<std::string>{"d1", "d2"}));
}

} // namespace
} // namespace banyanpick
