/// \file
/// Tests that a deployment with all plug-ins and without faults serves requests
/// end to end.
#include "harness/TestCatalogue.h"
#include "harness/VirtualDeployment.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

TEST(ServingTest, ServesEveryKindOfRequestWithoutFaults) {
  VirtualDeployment Deployment({});
  Deployment.seedCatalogue(testCatalogue({"house-1", "house-2"}));
  for (const char *Name : {"e1", "e2"}) {
    EngineShape Shape;
    Shape.Id = UpstreamId(Name);
    Shape.Models = {ModelId(TestModel)};
    Deployment.addEngine(Shape, "a");
  }
  Deployment.addApplication("p1", TestService, "b");
  for (const char *Name : {"h1", "h2", "h3"})
    Deployment.addHost(Name, "a");
  Deployment.runFor(seconds(5));
  Deployment.send("h1", testRequest("house-1", "short", 1000, 1));
  Deployment.send("h2", testRequest("house-2", "long", 100'000, 2));
  Deployment.send("h3", testRequest("house-1", "review", 600'000, 3));
  RequestHead Confirm = testRequest("house-2", "confirm", 100, 4);
  Confirm.Operation = Deployment.makeOperationKey();
  Confirm.Streamed = false;
  Deployment.send("h1", Confirm);
  Deployment.runFor(seconds(60));
  for (const CallerRecord &Record : Deployment.callers()) {
    ASSERT_TRUE(Record.Answer);
    EXPECT_TRUE(std::holds_alternative<CompleteAnswer>(*Record.Answer))
        << Record.Head.Class.Value << Record.Answer->index();
  }
  EXPECT_EQ(Deployment.applications().at("p1").Runs.size(), 1u);
  EXPECT_TRUE(Deployment.violations().empty());
}

} // namespace
} // namespace banyanpick
