/// \file
/// Checks that a planned stop interrupts no request and hands long streams over
/// to peers.
#include <gtest/gtest.h>

#include "fakes/FakeRequestTable.h"
#include "fakes/PluginViews.h"
#include "fakes/TestRequestBuilder.h"
#include "plugins/drain/DrainPlugin.h"
#include "plugins/resolve/ResolvePlugin.h"

namespace banyanpick {
namespace {

/// A log writer with unsettled records.
struct FakeLogWriter : LogWriter {
  std::size_t Unsettled = 0;

  RecordId append(LogRecordBody, Time, Actions &) override { return {}; }
  bool isReachable(Time) const override { return true; }
  std::size_t unsettled() const override { return this->Unsettled; }
};

/// Runs the drain plug-in with its own settings and those of resolve.
class DrainTest : public testing::Test {
protected:
  DrainTest() : Bench("host-a") {
    auto Declared = DrainPlugin::settings();
    for (const SettingDeclaration &Declaration : ResolvePlugin::settings())
      Declared.push_back(Declaration);
    this->Bench.Values = Settings::defaults(Declared);
    this->Bench.Registry.provide<RequestTable>(this->Table);
    this->Bench.Registry.provide<FleetView>(this->Fleet);
    this->Bench.Registry.provide<LogWriter>(this->Log);
    this->Fleet.add("e1");
    for (const char *Peer : {"host-b", "host-c"}) {
      this->Bench.Members.add(HostId(Peer));
    }
    for (std::size_t Index : {0, 1}) {
      this->Bench.Members.at(Index).Ready = true;
      this->Bench.Members.at(Index).Listing.Callers =
          Address{"10.0.0.1", static_cast<std::uint16_t>(Index)};
    }
    this->Bench.start();
    Actions Out;
    this->Bench.TestedPlugin.start(this->Now, Out);
  }

  /// Feeds the event and keeps the actions.
  void feed(const Event &Incoming) {
    Actions Out;
    this->Bench.TestedPlugin.handle(Incoming, this->Now, Out);
    this->Outputs = Out.take();
    for (const Action &Output : this->Outputs)
      this->Stopped |= std::holds_alternative<StopNow>(Output);
  }
  void advance(Duration Span) {
    for (const Time End = this->Now + Span; this->Now < End;) {
      this->Now += milliseconds(100);
      this->feed(Tick{});
      for (const Action &Output : this->Outputs)
        if (const auto *Sent = std::get_if<SendToPeer>(&Output))
          this->OfferedTo.push_back(Sent->To);
    }
  }
  bool refuses() {
    return this->Bench.TestedPlugin.check(TestRequestBuilder(9), this->Now)
        .has_value();
  }
  void addStream() {
    const Request ClientRequest = TestRequestBuilder(1);
    this->Table.add(ClientRequest, attemptOf(ClientRequest, 1, "e1"), "token");
  }
  void answerAs(const HostId &Peer) {
    this->feed(
        PeerMessageReceived{{Peer, Incarnation(1), HandoverTaken{"token"}}});
  }

  Time Now = Time(seconds(1000));
  FakeRequestTable Table;
  FakeFleetView Fleet;
  FakeLogWriter Log;
  PluginBench<DrainPlugin> Bench;
  std::vector<Action> Outputs;
  std::vector<HostId> OfferedTo;
  bool Stopped = false;
};

TEST_F(DrainTest, ServesUntilTheLastResolveAnswerHasExpired) {
  this->feed(StopRequest{});
  EXPECT_TRUE(this->Bench.TestedPlugin.isLeaving());
  this->advance(milliseconds(5900));
  EXPECT_FALSE(this->refuses());
  EXPECT_FALSE(this->Stopped) << "a caller may still connect";
  this->advance(milliseconds(200));
  EXPECT_TRUE(this->refuses());
  this->advance(seconds(1));
  EXPECT_TRUE(this->Stopped);
}

TEST_F(DrainTest, WaitsUntilItsRecordsAreInTheLog) {
  this->Log.Unsettled = 1;
  this->feed(StopRequest{});
  this->advance(seconds(20));
  EXPECT_FALSE(this->Stopped);
  this->Log.Unsettled = 0;
  this->advance(seconds(1));
  EXPECT_TRUE(this->Stopped);
}

TEST_F(DrainTest, RunningRequestIsNotInterrupted) {
  const Request ClientRequest = TestRequestBuilder(1);
  this->Table.add(ClientRequest, attemptOf(ClientRequest, 1, "e1"));
  this->feed(StopRequest{});
  this->advance(seconds(120));
  EXPECT_FALSE(this->Stopped);
  EXPECT_TRUE(this->OfferedTo.empty())
      << "an answer that is not streamed can't be handed over";
  this->Table.Entries.clear();
  this->advance(seconds(1));
  EXPECT_TRUE(this->Stopped);
}

TEST_F(DrainTest, LongStreamIsHandedToOnePeerAndItsCallerRedirected) {
  this->addStream();
  this->feed(StopRequest{});
  this->advance(milliseconds(29'800));
  EXPECT_TRUE(this->OfferedTo.empty());
  this->advance(seconds(5));
  ASSERT_GT(this->OfferedTo.size(), 1u) << "offered again while unanswered";
  for (const HostId &Peer : this->OfferedTo)
    EXPECT_EQ(Peer, this->OfferedTo[0]);
  const HostId Other(this->OfferedTo[0] == HostId("host-b") ? "host-c"
                                                            : "host-b");
  this->answerAs(Other);
  EXPECT_TRUE(this->Table.HandedOver.empty());
  this->answerAs(this->OfferedTo[0]);
  ASSERT_EQ(this->Table.HandedOver.size(), 1u);
  EXPECT_EQ(this->Table.HandedOver[0].Ip, "10.0.0.1");
  this->advance(seconds(1));
  EXPECT_TRUE(this->Stopped);
}

TEST_F(DrainTest, DeadPeerIsReplaced) {
  this->addStream();
  this->feed(StopRequest{});
  this->advance(seconds(31));
  ASSERT_FALSE(this->OfferedTo.empty());
  const HostId First = this->OfferedTo[0];
  this->OfferedTo.clear();
  this->Bench.Members.setState(First, MemberState::Dead);
  this->advance(seconds(1));
  ASSERT_FALSE(this->OfferedTo.empty());
  EXPECT_NE(this->OfferedTo[0], First);
}

TEST_F(DrainTest, StopsWhenItsBudgetIsExhausted) {
  this->addStream();
  this->Bench.Members.setState(HostId("host-b"), MemberState::Dead);
  this->Bench.Members.setState(HostId("host-c"), MemberState::Dead);
  this->feed(StopRequest{});
  this->advance(seconds(599));
  EXPECT_FALSE(this->Stopped);
  this->advance(seconds(2));
  EXPECT_TRUE(this->Stopped);
}

TEST_F(DrainTest, AdoptsAStreamAndRepeatsTheAnswer) {
  const StreamHandover Stream{"token",          TeamId("a"),
                              ClassId("long"),  AttemptId{Incarnation(7), 1},
                              UpstreamId("e1"), 5,
                              this->Now};
  const PeerMessageReceived Message{{HostId("host-b"), Incarnation(1), Stream}};
  for (int Round = 0; Round < 2; ++Round) {
    this->feed(Message);
    ASSERT_EQ(this->Outputs.size(), 2u);
    EXPECT_EQ(std::get<SendToPeer>(this->Outputs.back()).To, HostId("host-b"));
  }
  EXPECT_EQ(this->Table.Adopted.size(), 2u);
}

TEST_F(DrainTest, LeavingHostOrUnknownEngineAdoptsNothing) {
  StreamHandover Stream;
  Stream.Upstream = UpstreamId("unknown");
  this->feed(PeerMessageReceived{{HostId("host-b"), Incarnation(1), Stream}});
  Stream.Upstream = UpstreamId("e1");
  this->feed(StopRequest{});
  this->feed(PeerMessageReceived{{HostId("host-b"), Incarnation(1), Stream}});
  EXPECT_TRUE(this->Table.Adopted.empty());
}

} // namespace
} // namespace banyanpick
