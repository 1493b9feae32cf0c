/// \file
/// Guards against overlapping orders of two hosts to an engine that ignores
/// fencing numbers. They arise when a paused host goes on using its lease.
#include <gtest/gtest.h>
// GoogleTest comes before its RapidCheck adapter.
#include <rapidcheck/gtest.h>

#include "plugins/orders/LeaderLeases.h"

namespace banyanpick {
namespace {

constexpr LeaseTerms Terms{seconds(20), seconds(5)};
const UpstreamId Engine("e1");

/// A host that considers itself the leader. It may be paused, and its clock may
/// be off by any amount.
struct LeaseHost {
  explicit LeaseHost(std::uint64_t Life, Duration ClockAhead)
      : Life(Life), ClockAhead(ClockAhead), Leases(Incarnation(Life), Terms) {}

  Time clock(Time Now) const { return Now + this->ClockAhead; }

  Incarnation Life;
  Duration ClockAhead;
  LeaderLeases Leases;
  std::size_t NextRecord = 0;
  std::uint64_t RequestCount = 0;
};

/// A log whose records take effect at once. Hosts read it when they run.
struct LeaseLog {
  void request(LeaseHost &Host, Time Now) {
    const RecordId Id{Host.Life, ++Host.RequestCount};
    Host.Leases.noteRequested(Engine, Id, Host.clock(Now));
    const LeaderLease Lease{Engine, HostId("h"), Host.Life, Terms.Length};
    this->Records.push_back({this->Records.size() + 1, 0, {Id, Lease}});
  }
  void read(LeaseHost &Host, Time Now) const {
    for (; Host.NextRecord < this->Records.size(); ++Host.NextRecord)
      Host.Leases.noteRead(this->Records[Host.NextRecord], Host.clock(Now));
  }

  std::vector<StoredRecord> Records;
};

struct SentOrder {
  std::uint64_t Host = 0;
  Time SentAt{};
  LogOffset Fencing = 0;
};

RC_GTEST_PROP(LeaderLeasesTest, OrdersOfTwoHostsNeverOverlap, ()) {
  Time Now = Time(seconds(100000));
  LeaseLog Log;
  std::vector<LeaseHost> Hosts;
  for (std::uint64_t Life = 1; Life <= 3; ++Life) {
    Hosts.emplace_back(Life, seconds(*rc::gen::inRange(-5000, 5000)));
    Hosts.back().Leases.noteMissedRecords(Hosts.back().clock(Now));
  }
  std::vector<SentOrder> Sent;
  const int Steps = *rc::gen::inRange(50, 300);
  for (int Step = 0; Step < Steps; ++Step) {
    Now += milliseconds(*rc::gen::inRange(0, 4000));
    LeaseHost &Host = Hosts[*rc::gen::inRange<std::size_t>(0, Hosts.size())];
    // One step of the chosen host. A host that is not chosen is paused.
    if (*rc::gen::inRange(0, 3) != 0)
      Log.read(Host, Now);
    if (const auto Window = Host.Leases.window(Engine, false, Host.clock(Now)))
      Sent.push_back({Host.Life.Value, Now, Window->Fencing});
    else if (Host.Leases.shouldRequest(Engine, false, Host.clock(Now)))
      Log.request(Host, Now);
  }
  for (std::size_t Later = 1; Later < Sent.size(); ++Later) {
    const SentOrder &Before = Sent[Later - 1];
    const SentOrder &After = Sent[Later];
    if (Before.Host != After.Host)
      RC_ASSERT(After.SentAt >= Before.SentAt + Terms.LongestDelivery);
  }
  RC_CLASSIFY(Sent.size() > 1);
}

TEST(LeaderLeasesTest, FencedEngineNeedsNoWait) {
  LeaseHost First(1, Duration(0));
  LeaseHost Second(2, Duration(0));
  LeaseLog Log;
  const Time Now = Time(seconds(1000));
  Log.request(First, Now);
  Log.request(Second, Now);
  Log.read(Second, Now);
  const auto Window = Second.Leases.window(Engine, true, Now);
  ASSERT_TRUE(Window);
  EXPECT_EQ(Window->Fencing, 2u);
  EXPECT_FALSE(Second.Leases.window(Engine, false, Now));
  Log.read(First, Now);
  EXPECT_FALSE(First.Leases.window(Engine, true, Now)) << "superseded";
}

TEST(LeaderLeasesTest, LeaseReadLateIsNotUsable) {
  LeaseHost Host(1, Duration(0));
  LeaseLog Log;
  const Time Now = Time(seconds(1000));
  Log.request(Host, Now);
  Log.read(Host, Now + seconds(11));
  EXPECT_FALSE(Host.Leases.window(Engine, true, Now + seconds(11)));
  EXPECT_TRUE(Host.Leases.shouldRequest(Engine, true, Now + seconds(11)));
}

} // namespace
} // namespace banyanpick
