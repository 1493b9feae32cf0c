/// \file
/// Tests that a gateway sends nothing new to the engines of an evacuated zone.
#include "auto/gateway/GatewayBench.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace banyanpick {
namespace {

const ZoneId Far("far");
const ZoneId Own("z");

/// Engine `near1` in the host's zone, `far1` and `far2` in the zone `far`.
class Evacuation : public testing::Test {
protected:
  Evacuation() {
    this->Bench.configure(1);
    this->Bench.registerEngineIn("z", "near1", 1);
    this->Bench.registerEngineIn("far", "far1", 2);
    this->Bench.registerEngineIn("far", "far2", 3);
  }

  void readStored(const ZoneId &Zone, bool Active, LogOffset Offset) {
    EvacuationsRead Read;
    Read.Records.push_back({Zone, Active, Offset});
    Read.UpTo = Offset + 1;
    this->Bench.send(GatewayEvent(std::move(Read)));
  }
  void receiveHeartbeat(const ZoneId &Zone, bool Active, LogOffset Offset) {
    Heartbeat Beat;
    Beat.Evacuations.push_back({Zone, Active, Offset});
    this->Bench.receive("p1", Beat);
  }
  /// Sends requests that all run at once, and returns where they were sent.
  std::set<std::string> enginesOf(int Requests) {
    const std::size_t Before = this->Bench.all<DispatchRelay>().size();
    for (int Count = 0; Count < Requests; ++Count)
      this->Bench.arrive("/safe/1");
    std::set<std::string> Result;
    const auto All = this->Bench.all<DispatchRelay>();
    for (std::size_t Index = Before; Index < All.size(); ++Index)
      Result.insert(All[Index].Engine.Value);
    return Result;
  }

  GatewayBench Bench;
};

/// Guards against requests to engines of an evacuated zone, and against engines
/// that stay unused after the operators took the evacuation back.
TEST_F(Evacuation, SendsNothingToTheZoneUntilItIsTakenBack) {
  EXPECT_EQ(this->enginesOf(12).size(), 3U);
  this->readStored(Far, true, 10);
  EXPECT_EQ(this->enginesOf(12), std::set<std::string>{"near1"});
  this->readStored(Far, false, 12);
  const std::set<std::string> Used = this->enginesOf(24);
  EXPECT_TRUE(Used.contains("far1") && Used.contains("far2"));
  EXPECT_EQ(this->Bench.logged(events::ZoneEvacuated), 1U);
  EXPECT_EQ(this->Bench.logged(events::EvacuationEnded), 1U);
}

/// Guards against evacuations that do not reach hosts which do not read the
/// store, and against an old heartbeat that undoes a newer record.
TEST_F(Evacuation, IsLearnedFromHeartbeatsAndOrderedByOffset) {
  this->receiveHeartbeat(Far, true, 10);
  EXPECT_EQ(this->enginesOf(12), std::set<std::string>{"near1"});
  this->receiveHeartbeat(Far, false, 12);
  this->receiveHeartbeat(Far, true, 10);
  EXPECT_EQ(this->enginesOf(24).size(), 3U);
}

/// Guards against records that reach the peers only with the next regular
/// heartbeat, or not at all.
TEST_F(Evacuation, IsSentToPeersAtOnce) {
  Heartbeat Beat;
  HostListing Peer;
  Peer.Id = HostId("p1");
  Peer.Zone = Own;
  Peer.Callers = {"127.0.0.1", 31};
  Peer.Peers = {"127.0.0.1", 32};
  Beat.KnownHosts = {Peer};
  this->Bench.receive("p1", Beat);
  this->Bench.advance(seconds(2));
  const std::size_t Before = this->Bench.sent<Heartbeat>().size();
  this->readStored(Far, true, 10);
  this->Bench.advance(milliseconds(2));
  const auto Sent = this->Bench.sent<Heartbeat>();
  ASSERT_GT(Sent.size(), Before);
  const EvacuationRecord Expected{Far, true, 10};
  EXPECT_EQ(Sent.back().Evacuations, std::vector{Expected});
}

/// Guards against evacuations that last because their end was dropped from the
/// store's history, and against a listing read before the evacuation.
TEST_F(Evacuation, ACompleteListingWithoutTheZoneEndsIt) {
  this->readStored(Far, true, 10);
  EvacuationsRead Listing;
  Listing.Complete = true;
  Listing.UpTo = 9;
  this->Bench.send(GatewayEvent(Listing));
  EXPECT_EQ(this->enginesOf(12), std::set<std::string>{"near1"});
  Listing.UpTo = 20;
  this->Bench.send(GatewayEvent(Listing));
  EXPECT_EQ(this->enginesOf(24).size(), 3U);
}

/// Guards against a running request that is cancelled by the evacuation.
TEST_F(Evacuation, RunningRequestsFinish) {
  this->enginesOf(12);
  this->readStored(Far, true, 10);
  this->Bench.advance(milliseconds(200));
  EXPECT_TRUE(this->Bench.all<CancelRelay>().empty());
}

/// Guards against a second attempt in the zone whose engines refused a first
/// one or that the traffic thread returned as never sent.
TEST_F(Evacuation, SecondAttemptsGoElsewhere) {
  this->readStored(Own, true, 10);
  this->enginesOf(8);
  const auto First = this->Bench.all<DispatchRelay>();
  ASSERT_EQ(First.size(), 8U);
  this->readStored(Far, true, 11);
  this->readStored(Own, false, 12);
  for (const DispatchRelay &Sent : First)
    this->Bench.endAttempt(Sent.Attempt,
                           RelayNeverSent{RelayNeverSent::Why::Withdrawn});
  const auto All = this->Bench.all<DispatchRelay>();
  ASSERT_EQ(All.size(), 16U);
  for (std::size_t Index = First.size(); Index < All.size(); ++Index)
    EXPECT_EQ(All[Index].Engine.Value, "near1");
}

/// Guards against requests that wait until their callers leave, or are sent
/// into the zone, when no engine outside is left.
TEST_F(Evacuation, WithoutOtherEnginesRequestsAreRefusedAtOnce) {
  this->readStored(Far, true, 10);
  this->readStored(Own, true, 11);
  const RequestId Id = this->Bench.arrive("/safe/1");
  const RefuseRelay Refused = this->Bench.last<RefuseRelay>();
  EXPECT_EQ(Refused.Request, Id);
  EXPECT_EQ(Refused.Kind, RefusalKind::NotRun);
  EXPECT_GT(Refused.RetryAfter, Duration(0));
  EXPECT_TRUE(this->Bench.all<DispatchRelay>().empty());
}

/// Guards against orders that wait in the traffic thread for a connection and
/// are sent after the evacuation is in force.
TEST_F(Evacuation, ClosesTheEnginesForOrdersThatWait) {
  this->readStored(Far, true, 10);
  const std::vector Expected{UpstreamId("far1"), UpstreamId("far2")};
  EXPECT_EQ(this->Bench.last<CloseEngines>().Engines, Expected);
  this->readStored(Far, false, 11);
  EXPECT_TRUE(this->Bench.last<CloseEngines>().Engines.empty());
}

/// Guards against a typing error that nobody notices.
TEST_F(Evacuation, AZoneWithoutEnginesIsLoggedOnce) {
  this->readStored(ZoneId("nowhere"), true, 10);
  this->readStored(Far, true, 11);
  this->Bench.advance(seconds(20));
  EXPECT_EQ(this->Bench.logged(events::EvacuatedZoneUnknown), 1U);
  EXPECT_EQ(this->enginesOf(12), std::set<std::string>{"near1"});
}

/// Guards against prompts on several engines of which some are evacuated.
class EvacuatedMemory : public testing::Test {
protected:
  EvacuatedMemory() {
    this->Bench.configure(1);
    this->Bench.registerEngines("ring", 6);
    this->Bench.arrive("/review/1", 600'000, seconds(30));
  }
  void evacuate() {
    EvacuationsRead Read;
    Read.Records.push_back({Own, true, 10});
    this->Bench.send(GatewayEvent(std::move(Read)));
  }
  void hold() {
    for (const ReserveMemory &Order : this->Bench.all<ReserveMemory>())
      this->Bench.send(GatewayEvent(ReservationAnswered{
          Order.Engine, Order.Name, ReservationResult::Held}));
  }

  GatewayBench Bench;
};

/// Guards against a prompt that is sent when its memory was reserved before the
/// evacuation, and against memory that stays reserved.
TEST_F(EvacuatedMemory, ReservationsThatWereNotUsedAreReleased) {
  const std::size_t Requested = this->Bench.all<ReserveMemory>().size();
  ASSERT_GT(Requested, 1U);
  this->evacuate();
  this->hold();
  EXPECT_TRUE(this->Bench.all<DispatchRelay>().empty());
  EXPECT_GE(this->Bench.all<ReleaseMemory>().size(), Requested);
  this->Bench.advance(seconds(5));
  EXPECT_EQ(this->Bench.all<ReserveMemory>().size(), Requested);
}

/// Guards against renewals of memory that is held, but not used, on evacuated
/// engines while the other engines have not answered.
TEST_F(EvacuatedMemory, UnusedReservationsAreNotRenewed) {
  const auto Requested = this->Bench.all<ReserveMemory>();
  this->Bench.send(GatewayEvent(ReservationAnswered{
      Requested[0].Engine, Requested[0].Name, ReservationResult::Held}));
  this->evacuate();
  this->Bench.advance(seconds(3));
  EXPECT_EQ(this->Bench.all<ReserveMemory>().size(), Requested.size());
}

/// Guards against a running prompt that loses its memory.
TEST_F(EvacuatedMemory, IsRenewedForPromptsThatRun) {
  this->hold();
  ASSERT_EQ(this->Bench.all<DispatchRelay>().size(), 1U);
  this->evacuate();
  const std::size_t Before = this->Bench.all<ReserveMemory>().size();
  this->Bench.advance(milliseconds(1500));
  EXPECT_GT(this->Bench.all<ReserveMemory>().size(), Before);
}

/// Guards against report requests to evacuated engines: a late first token
/// causes one.
TEST(EvacuatedReports, AreNotRequested) {
  const auto ReportsAfterLateToken = [](bool Evacuated) {
    GatewayBench Bench;
    Bench.configure(1);
    Bench.registerEngines("ring", 2);
    Bench.arrive("/stream/1", 40'000);
    if (Evacuated) {
      EvacuationsRead Read;
      Read.Records.push_back({Own, true, 10});
      Bench.send(GatewayEvent(std::move(Read)));
    }
    Bench.advance(milliseconds(700));
    Bench.send(GatewayEvent(RelayBegan{Bench.last<DispatchRelay>().Attempt}));
    Bench.advance(seconds(1));
    return Bench.all<AskReport>().size();
  };
  EXPECT_GT(ReportsAfterLateToken(false), 0U);
  EXPECT_EQ(ReportsAfterLateToken(true), 0U);
}

} // namespace
} // namespace banyanpick
