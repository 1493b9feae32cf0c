/// \file
/// Tests of the virtual deployment: event queue, network, log fake and hosts.
#include "harness/VirtualDeployment.h"
#include "harness/TestCatalogue.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

TEST(EventQueueTest, RunsInOrderOfTimeThenInsertion) {
  EventQueue Queue{Time()};
  std::string Order;
  Queue.after(seconds(2), [&] { Order += "c"; });
  Queue.after(seconds(1), [&] { Order += "a"; });
  Queue.after(seconds(1), [&] { Order += "b"; });
  Queue.runUntil(Time(seconds(3)));
  EXPECT_EQ(Order, "abc");
  EXPECT_EQ(Queue.now(), Time(seconds(3)));
}

TEST(FakeLogTest, KeepsOffsetsPastItsRetention) {
  FakeLog Log;
  Log.Retention = seconds(10);
  const std::vector<LogRecord> One(1);
  EXPECT_EQ(Log.append(One, Time()), 1u);
  EXPECT_EQ(Log.append(One, Time(seconds(9))), 2u);
  Log.expire(Time(seconds(15)));
  const LogRead Read = Log.read(1);
  EXPECT_EQ(Read.StartOffset, 2u);
  ASSERT_EQ(Read.Records.size(), 1u);
  EXPECT_EQ(Read.Records[0].Offset, 2u);
  EXPECT_EQ(Log.append(One, Time(seconds(16))), 3u);
}

TEST(NetworkTest, CutsOneDirectionOrAll) {
  Network Net;
  Net.cut("a", "b");
  EXPECT_TRUE(Net.isCut("a", "b"));
  EXPECT_FALSE(Net.isCut("b", "a"));
  Net.cut("*", "c");
  EXPECT_TRUE(Net.isCut("x", "c"));
  Net.healAll();
  EXPECT_FALSE(Net.isCut("a", "b"));
}

TEST(VirtualDeploymentTest, HostsFreezeCrashAndRestart) {
  VirtualDeployment Deployment({});
  for (const char *Name : {"h1", "h2", "h3"})
    Deployment.addHost(Name, "a");
  Deployment.addApplication("p1", TestService, "a");
  Deployment.seedCatalogue(testCatalogue({"house-1"}));
  Deployment.runFor(seconds(5));
  Deployment.freeze("h1");
  Deployment.killHost("h2");
  Deployment.runFor(seconds(5));
  Deployment.thaw("h1");
  Deployment.startHost("h2");
  Deployment.runFor(seconds(5));
  EXPECT_GE(Deployment.steps(), 4u);
  EXPECT_TRUE(Deployment.violations().empty());
}

} // namespace
} // namespace banyanpick
