/// \file
/// A calm deployment of all plug-ins serves requests from end to end.
#include "harness/TestCatalogue.h"
#include "harness/VirtualDeployment.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

TEST(ServingTest, ACalmDeploymentServesEveryKindOfRequest) {
  VirtualDeployment World({});
  World.seedCatalogue(testCatalogue({"house-1", "house-2"}));
  for (const char *Name : {"e1", "e2"}) {
    EngineShape Shape;
    Shape.Id = UpstreamId(Name);
    Shape.Models = {ModelId(TestModel)};
    World.addEngine(Shape, "a");
  }
  World.addApplication("p1", TestService, "b");
  for (const char *Name : {"h1", "h2", "h3"})
    World.addHost(Name, "a");
  World.runFor(seconds(5));
  World.send("h1", testRequest("house-1", "short", 1000, 1));
  World.send("h2", testRequest("house-2", "long", 100'000, 2));
  World.send("h3", testRequest("house-1", "review", 600'000, 3));
  RequestHead Confirm = testRequest("house-2", "confirm", 100, 4);
  Confirm.Operation = World.makeOperationKey();
  Confirm.Streamed = false;
  World.send("h1", Confirm);
  World.runFor(seconds(60));
  for (const CallerRecord &Each : World.callers()) {
    ASSERT_TRUE(Each.Answer);
    EXPECT_TRUE(std::holds_alternative<CompleteAnswer>(*Each.Answer))
        << Each.Head.Class.Value << Each.Answer->index();
  }
  EXPECT_EQ(World.applications().at("p1").Runs.size(), 1u);
  EXPECT_TRUE(World.violations().empty());
}

} // namespace
} // namespace banyanpick
