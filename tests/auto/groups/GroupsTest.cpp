/// \file
/// Checks that memory on a group of engines is reserved completely or not at
/// all, in engine order, for a bounded number of groups and attempts.
#include "plugins/groups/GroupsPlugin.h"

#include "auto/requests/ServiceFakes.h"
#include "kernel/PluginRegistry.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr Time Start = Time(seconds(1000));

class Groups : public testing::Test, public GroupObserver {
protected:
  Groups() {
    for (const char *Name : {"e1", "e2", "e3"}) {
      Upstream Engine;
      Engine.Listing.Id = UpstreamId(Name);
      Engine.State = UpstreamState::Live;
      this->Fleet.Upstreams.push_back(Engine);
    }
    this->Self.Life = Incarnation(7);
    this->Registry.provide<FleetView>(this->Fleet);
    this->Registry.list<GroupObserver>().add(*this);
    const std::vector<SettingDeclaration> Declared = {
        {"groups", "most_at_once", SettingKind::Whole, "1", ""},
        {"groups", "most_tries", SettingKind::Whole, "2", ""},
        {"groups", "answer_timeout", SettingKind::Span, "500ms", ""},
        {"groups", "retry_pause", SettingKind::Span, "100ms", ""}};
    this->Values = Settings::defaults(Declared);
    PluginContext Context(this->Self, this->Values, this->Registry, this->Rng);
    this->Plugin.initialize(Context);
  }

  void groupDecided(const RequestId &Id, std::span<const HoldId> Holds, Time,
                    Actions &) override {
    this->Decided[Id] = Holds.size();
  }

  /// Requests a group of e3, e1 and e2.
  std::vector<Action> acquire(std::uint64_t Id, Time Now) {
    Request ClientRequest;
    ClientRequest.Head.Id = RequestId(Id);
    Selected Choice;
    Choice.Group = {UpstreamId("e3"), UpstreamId("e1"), UpstreamId("e2")};
    Actions Out;
    this->Plugin.acquire(ClientRequest, Choice, Now, Out);
    return Out.take();
  }
  std::vector<Action> handle(const Event &Incoming, Time Now) {
    Actions Out;
    this->Plugin.handle(Incoming, Now, Out);
    return Out.take();
  }

  template <class Kind>
  static std::vector<Kind> actionsOf(const std::vector<Action> &All) {
    std::vector<Kind> Result;
    for (const Action &Output : All)
      if (const auto *Found = std::get_if<Kind>(&Output))
        Result.push_back(*Found);
    return Result;
  }

  /// Grants all requested holds, except on \p RefusingEngine.
  std::vector<Action> answerAll(std::vector<Action> Outputs, Time Now,
                                const std::string &RefusingEngine = "") {
    std::vector<Action> All = Outputs;
    while (!actionsOf<TakeHold>(Outputs).empty()) {
      const TakeHold Requested = actionsOf<TakeHold>(Outputs).front();
      this->Order.push_back(Requested.Upstream.Value);
      const bool Granted = Requested.Upstream.Value != RefusingEngine;
      Outputs = this->handle(
          HoldAnswered{Requested.Hold, Requested.Upstream,
                       Granted ? HoldResult::Granted : HoldResult::Refused},
          Now);
      All.insert(All.end(), Outputs.begin(), Outputs.end());
    }
    return All;
  }

  fakes::FakeFleet Fleet;
  Identity Self;
  Settings Values = Settings::defaults({});
  Services Registry;
  Random Rng{1};
  GroupsPlugin Plugin;
  std::map<RequestId, std::size_t> Decided;
  std::vector<std::string> Order;
};

TEST_F(Groups, AcquiresHoldsInEngineOrder) {
  const auto First = this->acquire(1, Start);
  EXPECT_EQ(actionsOf<TakeHold>(First).size(), 1U);
  this->answerAll(First, Start);
  EXPECT_EQ(this->Order, (std::vector<std::string>{"e1", "e2", "e3"}));
  EXPECT_EQ(this->Decided.at(RequestId(1)), 3U);
  Actions Out;
  this->Plugin.release(RequestId(1), Start, Out);
  EXPECT_EQ(actionsOf<ReleaseHold>(Out.items()).size(), 3U);
}

TEST_F(Groups, ReleasesAllOnOneRefusalAndStopsAfterMaxAttempts) {
  auto All = this->answerAll(this->acquire(1, Start), Start, "e3");
  EXPECT_EQ(actionsOf<ReleaseHold>(All).size(), 3U);
  EXPECT_TRUE(this->Decided.empty());
  const Time Later = Start + seconds(1);
  All = this->answerAll(this->handle(Tick{}, Later), Later, "e3");
  EXPECT_EQ(actionsOf<ReleaseHold>(All).size(), 3U);
  EXPECT_EQ(this->Decided.at(RequestId(1)), 0U);
  EXPECT_EQ(this->Plugin.nextWake(), Never);
}

TEST_F(Groups, BoundsConcurrentGroupsAndStartsTheNextLater) {
  this->answerAll(this->acquire(1, Start), Start);
  EXPECT_TRUE(actionsOf<TakeHold>(this->acquire(2, Start)).empty());
  Actions Out;
  this->Plugin.release(RequestId(1), Start, Out);
  const Time Later = this->Plugin.nextWake();
  this->answerAll(this->handle(Tick{}, Later), Later);
  EXPECT_EQ(this->Decided.at(RequestId(2)), 3U);
}

TEST_F(Groups, ReleasesOrphanedHolds) {
  LoadReport Report;
  Report.Id = UpstreamId("e1");
  Report.Holds = {{HoldKind::GroupHold, 7, 99, "h", 10, Start},
                  {HoldKind::GroupHold, 8, 99, "other", 10, Start}};
  const auto Released =
      actionsOf<ReleaseHold>(this->handle(LoadReported{Report}, Start));
  ASSERT_EQ(Released.size(), 1U);
  EXPECT_EQ(Released[0].Hold, (HoldId{Incarnation(7), 99}));
}

} // namespace
} // namespace banyanpick
