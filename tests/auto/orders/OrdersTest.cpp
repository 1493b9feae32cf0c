/// \file
/// Guards the sequence from a declared placement to the engine's report: orders
/// that are repeated, sent without a usable lease, or sent faster than the
/// weight store can serve.
#include <gtest/gtest.h>

#include "fakes/FakeRequestTable.h"
#include "fakes/PluginViews.h"
#include "plugins/orders/OrdersPlugin.h"

namespace banyanpick {
namespace {

class OrdersTest : public testing::Test {
protected:
  OrdersTest() : Bench("host-a") {
    this->Bench.Self.Life = Incarnation(1);
    this->Bench.Registry.provide<FleetView>(this->Fleet);
    this->Fleet.add("e1").Listing.ChecksFencing = true;
    this->declareModel("m", 1);
    this->Bench.start();
    Actions Out;
    this->Bench.TestedPlugin.start(this->Now, Out);
  }

  void declareModel(const std::string &Name, std::uint32_t Minimum) {
    ModelEntry Entry;
    Entry.Weights = "w-" + Name;
    Entry.WeightBytes = std::uint64_t(4) << 30;
    Entry.MinimumEngines = Minimum;
    this->Bench.Entries.add(ModelId(Name), Entry);
  }
  void handleEvent(const Event &Incoming) {
    Actions Out;
    this->Bench.TestedPlugin.handle(Incoming, this->Now, Out);
    for (const Action &Requested : Out.items())
      if (const auto *Order = std::get_if<OrderUpstream>(&Requested))
        this->Sent.push_back(*Order);
  }
  /// Advances the clock. Appended records are read back at once.
  void advance(Duration Span) {
    for (const Time End = this->Now + Span; this->Now < End;) {
      this->Now += milliseconds(100);
      this->handleEvent(Tick{});
      this->readLog();
    }
  }
  void readLog() {
    Actions Out;
    for (; this->ReadCount < this->Bench.Log.Appended.size(); ++this->ReadCount)
      this->Bench.TestedPlugin.recordRead(
          {this->ReadCount + 1,
           0,
           {{Incarnation(1), this->ReadCount + 1},
            this->Bench.Log.Appended[ReadCount]}},
          this->Now, Out);
  }
  void answer(OrderResult Result) {
    this->handleEvent(OrderAnswered{this->Sent.back().Order,
                                    this->Sent.back().Upstream, Result, 9});
  }

  Time Now = Time(seconds(1000));
  FakeFleetView Fleet;
  PluginBench<OrdersPlugin> Bench;
  std::vector<OrderUpstream> Sent;
  std::size_t ReadCount = 0;
};

TEST_F(OrdersTest, LoadIsOrderedOnceUnderALeaseAndReadBack) {
  this->advance(seconds(4));
  EXPECT_TRUE(this->Bench.Log.Appended.empty())
      << "the placement has not settled yet";
  this->advance(seconds(3));
  ASSERT_EQ(this->Sent.size(), 1u);
  EXPECT_EQ(this->Sent[0].Fencing, 1u);
  EXPECT_EQ(std::get<LoadModel>(this->Sent[0].Body).Weights, "w-m");
  EXPECT_LE(this->Sent[0].ValidUntil, this->Now + seconds(10));
  this->answer(OrderResult::Accepted);
  this->advance(seconds(60));
  EXPECT_EQ(this->Sent.size(), 1u) << "the load is still in progress";
  this->Fleet.Upstreams[0].Report.Models = {ModelId("m")};
  this->advance(seconds(300));
  EXPECT_EQ(this->Sent.size(), 1u);
}

TEST_F(OrdersTest, LostAnswerIsSettledByTheReport) {
  this->advance(seconds(7));
  this->answer(OrderResult::Unknown);
  this->advance(seconds(100));
  EXPECT_EQ(this->Sent.size(), 1u);
  this->advance(seconds(30));
  EXPECT_EQ(this->Sent.size(), 2u) << "the report never showed the model";
}

TEST_F(OrdersTest, RefusedFencingNeedsANewLease) {
  this->advance(seconds(7));
  this->answer(OrderResult::RefusedFencing);
  this->advance(seconds(12));
  ASSERT_EQ(this->Sent.size(), 2u);
  EXPECT_EQ(this->Sent[1].Fencing, 2u);
}

TEST_F(OrdersTest, EngineWithoutFencingGetsNoOrderDuringEarlierLeases) {
  this->Fleet.Upstreams[0].Listing.ChecksFencing = false;
  this->advance(seconds(24));
  EXPECT_TRUE(this->Sent.empty())
      << "a lease from before the start may still be valid";
  this->advance(seconds(3));
  EXPECT_EQ(this->Sent.size(), 1u);
}

TEST_F(OrdersTest, OnlyTheLeaderSendsOrders) {
  for (int Index = 0; Index < 50; ++Index)
    this->Bench.Members.add(HostId("h" + std::to_string(Index)));
  this->advance(seconds(30));
  EXPECT_TRUE(this->Sent.empty());
}

TEST_F(OrdersTest, LoadsKeepToTheWeightStoresRate) {
  for (const char *Name : {"e2", "e3", "e4", "e5"})
    this->Fleet.add(Name).Listing.ChecksFencing = true;
  this->declareModel("m", 5);
  this->advance(seconds(7));
  EXPECT_EQ(this->Sent.size(), 1u);
  // 4 GiB at 1 GiB per second allow one more load every four seconds.
  this->advance(seconds(8));
  EXPECT_EQ(this->Sent.size(), 3u);
}

} // namespace
} // namespace banyanpick
