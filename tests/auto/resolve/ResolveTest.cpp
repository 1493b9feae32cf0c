/// \file
/// Checks which entry hosts callers get, and in which order.
#include <gtest/gtest.h>
// GoogleTest comes before its RapidCheck adapter.
#include <rapidcheck/gtest.h>

#include "fakes/PluginViews.h"
#include "plugins/resolve/ResolvePlugin.h"

#include <algorithm>

namespace banyanpick {
namespace {

struct FakeDrainView : DrainView {
  bool isLeaving() const override { return this->Leaving; }
  bool Leaving = false;
};

CallerHost host(int Index, const std::string &Zone) {
  return {HostId("h" + std::to_string(Index)), ZoneId(Zone),
          Address{"10.0.0." + std::to_string(Index), 7000}};
}

struct ResolveBench {
  ResolveBench() : Bench("h0") {
    this->Bench.Self.Zone = ZoneId("z");
    this->Bench.Self.Callers = host(0, "z").Callers;
    this->Bench.Registry.provide<DrainView>(this->Drain);
    for (int Index = 1; Index < 6; ++Index) {
      this->Bench.Members.add(host(Index, "z").Host);
      Member &Added = this->Bench.Members.at(Index - 1);
      Added.Listing.Callers = host(Index, "z").Callers;
      Added.Ready = true;
      Added.Listing.Zone = ZoneId(Index < 3 ? "z" : "y");
    }
    this->Bench.start();
    Actions Out;
    this->Bench.TestedPlugin.start(Time(seconds(1)), Out);
  }
  std::vector<std::string> ask(const std::string &Zone,
                               const std::string &Team = "",
                               std::uint64_t QueryId = 1) {
    Actions Out;
    this->Bench.TestedPlugin.handle(
        ResolveRequest{ResolveRequestId(QueryId), TeamId(Team), ZoneId(Zone)},
        Time(seconds(1)), Out);
    std::vector<std::string> Result;
    for (const Action &Output : Out.items())
      if (const auto *Answer = std::get_if<AnswerResolve>(&Output))
        for (const Address &Host : Answer->Hosts)
          Result.push_back(Host.Ip);
    return Result;
  }

  FakeDrainView Drain;
  PluginBench<ResolvePlugin> Bench;
};

TEST(ResolveTest, NearestZoneFirstAndAnotherZoneLast) {
  ResolveBench Resolver;
  const auto Answer = Resolver.ask("z");
  ASSERT_EQ(Answer.size(), 3u);
  EXPECT_LT(Answer[0], "10.0.0.3");
  EXPECT_LT(Answer[1], "10.0.0.3");
  EXPECT_GE(Answer[2], "10.0.0.3");
  EXPECT_GE(Resolver.ask("y")[0], "10.0.0.3");
}

TEST(ResolveTest, LeavingSuspectAndUnreadyHostsAreOmitted) {
  ResolveBench Resolver;
  Resolver.Drain.Leaving = true;
  Resolver.Bench.Members.setState(HostId("h1"), MemberState::Suspect);
  Resolver.Bench.Members.setState(HostId("h2"), MemberState::Leaving);
  Resolver.Bench.Members.at(2).Ready = false;
  auto Listed = Resolver.ask("z");
  std::ranges::sort(Listed);
  EXPECT_EQ(Listed, (std::vector<std::string>{"10.0.0.4", "10.0.0.5"}));
}

TEST(ResolveTest, TeamWithLimitsGetsOnlyItsOwnHosts) {
  ResolveBench Resolver;
  TeamEntry Limits;
  Limits.RequestsPerMinute = 10;
  Resolver.Bench.Entries.add(TeamId("house"), Limits);
  std::set<std::string> Listed;
  for (std::uint64_t QueryId = 0; QueryId < 50; ++QueryId)
    for (const std::string &Ip : Resolver.ask("z", "house", QueryId))
      Listed.insert(Ip);
  EXPECT_EQ(Listed.size(), MinTeamHosts);
}

TEST(ResolveTest, CallersAreSpreadOverTheHostsOfTheZone) {
  ResolveBench Resolver;
  std::map<std::string, int> First;
  for (std::uint64_t QueryId = 0; QueryId < 300; ++QueryId)
    ++First[Resolver.ask("z", "", QueryId)[0]];
  EXPECT_EQ(First.size(), 3u);
  for (const auto &[Host, Count] : First)
    EXPECT_GT(Count, 60) << Host;
}

RC_GTEST_PROP(HostOrderTest, ReturnsAtMostMaxCountNearestFirst, ()) {
  std::vector<CallerHost> Hosts;
  const int Count = *rc::gen::inRange(0, 20);
  Hosts.reserve(static_cast<std::size_t>(Count));
  for (int Index = 0; Index < Count; ++Index)
    Hosts.push_back(host(Index, *rc::gen::element<std::string>("z", "y")));
  const auto MaxCount = *rc::gen::inRange<std::size_t>(1, 6);
  const auto Listed = orderHosts(Hosts, ZoneId("z"), "key", MaxCount);
  RC_ASSERT(Listed.size() == std::min(Hosts.size(), MaxCount));
  const auto NearestCount =
      std::ranges::count(Hosts, ZoneId("z"), &CallerHost::Zone);
  const auto IsNear = [&](const Address &Callers) {
    return std::ranges::find(Hosts, Callers, &CallerHost::Callers)->Zone ==
           ZoneId("z");
  };
  if (!Listed.empty() && NearestCount > 0)
    RC_ASSERT(IsNear(Listed.front()));
  if (Listed.size() > 1 && NearestCount < Count)
    RC_ASSERT(!IsNear(Listed.back()));
}

} // namespace
} // namespace banyanpick
