/// \file
/// Which entry hosts callers are told.
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
    this->Bench.Offered.provide<DrainView>(this->Drain);
    for (int Index = 1; Index < 6; ++Index) {
      this->Bench.Members.add(host(Index, "z").Host);
      Member &Added = this->Bench.Members.at(Index - 1);
      Added.Listing.Callers = host(Index, "z").Callers;
      Added.Ready = true;
      Added.Listing.Zone = ZoneId(Index < 3 ? "z" : "y");
    }
    this->Bench.start();
    Actions Out;
    this->Bench.Tested.start(Time(seconds(1)), Out);
  }
  std::vector<std::string> ask(const std::string &Zone,
                               const std::string &Team = "",
                               std::uint64_t Question = 1) {
    Actions Out;
    this->Bench.Tested.handle(
        ResolveRequest{ResolveRequestId(Question), TeamId(Team), ZoneId(Zone)},
        Time(seconds(1)), Out);
    std::vector<std::string> Result;
    for (const Action &Each : Out.items())
      if (const auto *Answer = std::get_if<AnswerResolve>(&Each))
        for (const Address &At : Answer->Hosts)
          Result.push_back(At.Ip);
    return Result;
  }

  FakeDrainView Drain;
  PluginBench<ResolvePlugin> Bench;
};

TEST(ResolveTest, NearestZoneFirstAndOneOfAnotherLast) {
  ResolveBench Of;
  const auto Near = Of.ask("z");
  ASSERT_EQ(Near.size(), 3u);
  EXPECT_LT(Near[0], "10.0.0.3");
  EXPECT_LT(Near[1], "10.0.0.3");
  EXPECT_GE(Near[2], "10.0.0.3");
  EXPECT_GE(Of.ask("y")[0], "10.0.0.3");
}

TEST(ResolveTest, LeavingSuspectedAndUnreadyHostsAreNotNamed) {
  ResolveBench Of;
  Of.Drain.Leaving = true;
  Of.Bench.Members.setState(HostId("h1"), MemberState::Suspect);
  Of.Bench.Members.setState(HostId("h2"), MemberState::Leaving);
  Of.Bench.Members.at(2).Ready = false;
  auto Named = Of.ask("z");
  std::ranges::sort(Named);
  EXPECT_EQ(Named, (std::vector<std::string>{"10.0.0.4", "10.0.0.5"}));
}

TEST(ResolveTest, TeamWithLimitsKeepsToItsOwnHosts) {
  ResolveBench Of;
  TeamEntry Limits;
  Limits.RequestsPerMinute = 10;
  Of.Bench.Entries.add(TeamId("house"), Limits);
  std::set<std::string> Named;
  for (std::uint64_t Question = 0; Question < 50; ++Question)
    for (const std::string &Each : Of.ask("z", "house", Question))
      Named.insert(Each);
  EXPECT_EQ(Named.size(), MinTeamHosts);
}

TEST(ResolveTest, CallersSpreadOverTheHostsOfTheZone) {
  ResolveBench Of;
  std::map<std::string, int> First;
  for (std::uint64_t Question = 0; Question < 300; ++Question)
    ++First[Of.ask("z", "", Question)[0]];
  EXPECT_EQ(First.size(), 3u);
  for (const auto &[Host, Count] : First)
    EXPECT_GT(Count, 60) << Host;
}

RC_GTEST_PROP(HostChoiceTest, NamesAtMostTheWantedNearestFirst, ()) {
  std::vector<CallerHost> Hosts;
  const int Count = *rc::gen::inRange(0, 20);
  Hosts.reserve(static_cast<std::size_t>(Count));
  for (int Index = 0; Index < Count; ++Index)
    Hosts.push_back(host(Index, *rc::gen::element<std::string>("z", "y")));
  const auto Most = *rc::gen::inRange<std::size_t>(1, 6);
  const auto Named = orderHosts(Hosts, ZoneId("z"), "key", Most);
  RC_ASSERT(Named.size() == std::min(Hosts.size(), Most));
  const auto Near = std::ranges::count(Hosts, ZoneId("z"), &CallerHost::Zone);
  const auto IsNear = [&](const Address &At) {
    return std::ranges::find(Hosts, At, &CallerHost::Callers)->Zone ==
           ZoneId("z");
  };
  if (!Named.empty() && Near > 0)
    RC_ASSERT(IsNear(Named.front()));
  if (Named.size() > 1 && Near < Count)
    RC_ASSERT(!IsNear(Named.back()));
}

} // namespace
} // namespace banyanpick
