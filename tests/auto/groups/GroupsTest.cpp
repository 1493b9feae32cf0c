/// \file
/// Groups of engines: all or nothing, in engine order, bounded.
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
    this->Offered.provide<FleetView>(this->Fleet);
    this->Offered.list<GroupObserver>().add(*this);
    const std::vector<SettingDeclaration> Declared = {
        {"groups", "most_at_once", SettingKind::Whole, "1", ""},
        {"groups", "most_tries", SettingKind::Whole, "2", ""},
        {"groups", "answer_timeout", SettingKind::Span, "500ms", ""},
        {"groups", "retry_pause", SettingKind::Span, "100ms", ""}};
    this->Values = Settings::defaults(Declared);
    PluginContext Context(this->Self, this->Values, this->Offered,
                          this->Numbers);
    this->Plugin.initialize(Context);
  }

  void groupDecided(const RequestId &Id, std::span<const HoldId> Holds, Time,
                    Actions &) override {
    this->Decided[Id] = Holds.size();
  }

  /// Asks for e3, e1 and e2 together.
  std::vector<Action> acquire(std::uint64_t Id, Time Now) {
    Request Asked;
    Asked.Head.Id = RequestId(Id);
    Selected Choice;
    Choice.Group = {UpstreamId("e3"), UpstreamId("e1"), UpstreamId("e2")};
    Actions Out;
    this->Plugin.acquire(Asked, Choice, Now, Out);
    return Out.take();
  }
  std::vector<Action> handle(const Event &What, Time Now) {
    Actions Out;
    this->Plugin.handle(What, Now, Out);
    return Out.take();
  }

  template <class Kind>
  static std::vector<Kind> only(const std::vector<Action> &All) {
    std::vector<Kind> Result;
    for (const Action &Each : All)
      if (const auto *Found = std::get_if<Kind>(&Each))
        Result.push_back(*Found);
    return Result;
  }

  /// Grants holds until nothing more is asked, but refuses on this engine.
  std::vector<Action> answerAll(std::vector<Action> Given, Time Now,
                                const std::string &Refusing = "") {
    std::vector<Action> All = Given;
    while (!only<TakeHold>(Given).empty()) {
      const TakeHold Asked = only<TakeHold>(Given).front();
      this->Order.push_back(Asked.Upstream.Value);
      const bool Granted = Asked.Upstream.Value != Refusing;
      Given = this->handle(
          HoldAnswered{Asked.Hold, Asked.Upstream,
                       Granted ? HoldResult::Granted : HoldResult::Refused},
          Now);
      All.insert(All.end(), Given.begin(), Given.end());
    }
    return All;
  }

  fakes::FakeFleet Fleet;
  Identity Self;
  Settings Values = Settings::defaults({});
  Services Offered;
  Random Numbers{1};
  GroupsPlugin Plugin;
  std::map<RequestId, std::size_t> Decided;
  std::vector<std::string> Order;
};

TEST_F(Groups, TakesHoldsOneAfterTheOtherInEngineOrder) {
  const auto First = this->acquire(1, Start);
  EXPECT_EQ(only<TakeHold>(First).size(), 1U);
  this->answerAll(First, Start);
  EXPECT_EQ(this->Order, (std::vector<std::string>{"e1", "e2", "e3"}));
  EXPECT_EQ(this->Decided.at(RequestId(1)), 3U);
  Actions Out;
  this->Plugin.release(RequestId(1), Start, Out);
  EXPECT_EQ(only<ReleaseHold>(Out.items()).size(), 3U);
}

TEST_F(Groups, LetsEverythingGoOnOneRefusalAndGivesUpAfterItsTries) {
  auto All = this->answerAll(this->acquire(1, Start), Start, "e3");
  EXPECT_EQ(only<ReleaseHold>(All).size(), 3U);
  EXPECT_TRUE(this->Decided.empty());
  const Time Later = Start + seconds(1);
  All = this->answerAll(this->handle(Tick{}, Later), Later, "e3");
  EXPECT_EQ(only<ReleaseHold>(All).size(), 3U);
  EXPECT_EQ(this->Decided.at(RequestId(1)), 0U);
  EXPECT_EQ(this->Plugin.nextWake(), Never);
}

TEST_F(Groups, TakesABoundedNumberAtOnceAndANextOneLater) {
  this->answerAll(this->acquire(1, Start), Start);
  EXPECT_TRUE(only<TakeHold>(this->acquire(2, Start)).empty());
  Actions Out;
  this->Plugin.release(RequestId(1), Start, Out);
  const Time Later = this->Plugin.nextWake();
  this->answerAll(this->handle(Tick{}, Later), Later);
  EXPECT_EQ(this->Decided.at(RequestId(2)), 3U);
}

TEST_F(Groups, ReleasesWhatAnEngineHoldsAndNobodyWants) {
  LoadReport Report;
  Report.Id = UpstreamId("e1");
  Report.Holds = {{HoldKind::GroupHold, 7, 99, "h", 10, Start},
                  {HoldKind::GroupHold, 8, 99, "other", 10, Start}};
  const auto Released =
      only<ReleaseHold>(this->handle(LoadReported{Report}, Start));
  ASSERT_EQ(Released.size(), 1U);
  EXPECT_EQ(Released[0].Hold, (HoldId{Incarnation(7), 99}));
}

} // namespace
} // namespace banyanpick
