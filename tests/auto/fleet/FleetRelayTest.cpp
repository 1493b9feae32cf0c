/// \file
/// Checks that with many entry hosts only a few poll an upstream and relay its
/// load.
#include <gtest/gtest.h>

#include "FleetBench.h"

namespace banyanpick {
namespace {

constexpr int Hosts = 20;
constexpr int Engines = 100;

/// One of the many hosts of a zone, with all engines listed.
struct ManyHosts {
  explicit ManyHosts(int Index) : Bench(name(Index)) {
    for (int Other = 0; Other < Hosts; ++Other)
      if (Other != Index)
        this->Bench.Members.add(HostId(name(Other)));
    this->Bench.start();
    HostListRead List;
    for (int Engine = 0; Engine < Engines; ++Engine)
      List.Upstreams.push_back(
          FleetBench::engine("e" + std::to_string(Engine)));
    this->feed(List);
  }
  static std::string name(int Index) { return "h" + std::to_string(Index); }
  std::vector<Action> feed(const Event &Incoming) {
    Actions Out;
    this->Bench.TestedPlugin.handle(Incoming, this->Now, Out);
    return Out.take();
  }
  std::vector<UpstreamId> polled() {
    this->Now += seconds(1);
    std::vector<UpstreamId> Result;
    for (const Action &Output : this->feed(Tick{}))
      if (const auto *Poll = std::get_if<PollLoad>(&Output))
        Result.push_back(Poll->Upstream);
    return Result;
  }

  Time Now = Time(seconds(1000));
  PluginBench<FleetPlugin> Bench;
};

TEST(FleetRelayTest, TwoHostsPollEachEngine) {
  std::map<UpstreamId, int> Pollers;
  for (int Index = 0; Index < Hosts; ++Index) {
    ManyHosts Host(Index);
    // Polls of the first round are unanswered; count them after the timeout.
    Host.Now += seconds(2);
    for (const UpstreamId &Id : Host.polled())
      ++Pollers[Id];
  }
  EXPECT_EQ(Pollers.size(), static_cast<std::size_t>(Engines));
  for (const auto &[Engine, Count] : Pollers)
    EXPECT_EQ(Count, 2) << Engine.Value;
}

TEST(FleetRelayTest, OnePollerRelaysAReportOnce) {
  const LoadReport Report = FleetBench::report("e7", 1, Time(seconds(1000)));
  int Relaying = 0;
  for (int Index = 0; Index < Hosts; ++Index) {
    ManyHosts Host(Index);
    const auto First = Host.feed(LoadReported{Report});
    Relaying += countMessages<LoadRelayed>(First) == Hosts - 1;
    EXPECT_EQ(countMessages<LoadRelayed>(Host.feed(LoadReported{Report})), 0u);
  }
  EXPECT_EQ(Relaying, 1);
}

TEST(FleetRelayTest, RelayedReportMarksLiveAndAnOlderOneIsIgnored) {
  ManyHosts Host(0);
  const auto Receive = [&](const LoadReport &Report) {
    Host.feed(PeerMessageReceived{
        {HostId("h1"), Incarnation(1), LoadRelayed{Report}}});
  };
  LoadReport Newer = FleetBench::report("e7", 1, Time(seconds(1000)));
  Newer.Running = 5;
  Receive(Newer);
  const Upstream &Engine = *Host.Bench.TestedPlugin.find(UpstreamId("e7"));
  EXPECT_EQ(Engine.State, UpstreamState::Live);
  Host.Now += seconds(6);
  Host.feed(Tick{});
  EXPECT_EQ(Engine.State, UpstreamState::Live)
      << "the next report may be in transit";
  LoadReport Older = FleetBench::report("e7", 9, Time(seconds(999)));
  Receive(Older);
  EXPECT_EQ(Engine.Listing.Life, Incarnation(1));
  EXPECT_EQ(Engine.Report.Running, 5u);
}

} // namespace
} // namespace banyanpick
