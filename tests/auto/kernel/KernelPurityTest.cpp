/// \file
/// A kernel is a pure state machine: the same events give the same actions,
/// and kernels in one process share nothing.
#include "harness/TestCatalogue.h"
#include "harness/VirtualDeployment.h"

#include <gtest/gtest.h>

#include <concepts>

namespace banyanpick {
namespace {

/// What one kernel was given and what it wanted.
struct Handled {
  Event What;
  Time At;
  std::vector<Action> Wanted;
};

bool areEqual(const Action &First, const Action &Second) {
  if (First.index() != Second.index())
    return false;
  return std::visit(
      [&](const auto &One) {
        using Kind = std::decay_t<decltype(One)>;
        if constexpr (std::equality_comparable<Kind>)
          return One == std::get<Kind>(Second);
        else
          return true; // Answers to operators; none are asked for here.
      },
      First);
}

/// Two hosts beside each other under load and faults; what h1 did.
std::vector<Handled> recordedRun(VirtualDeployment &World) {
  std::vector<Handled> Record;
  World.OnHandled = [&Record](const VirtualHost &Host, const Event &What,
                              Time At, const std::vector<Action> &Wanted) {
    if (Host.name() == "h1")
      Record.push_back({What, At, Wanted});
  };
  World.seedCatalogue(testCatalogue({"house-1"}));
  for (const char *Name : {"e1", "e2", "e3"}) {
    EngineShape Shape;
    Shape.Id = UpstreamId(Name);
    Shape.Models = {ModelId(TestModel)};
    World.addEngine(Shape, "a");
  }
  World.addApplication("p1", TestService, "a");
  World.addHost("h1", "a");
  World.addHost("h2", "b");
  World.runFor(seconds(5));
  for (std::uint64_t Content = 1; Content <= 40; ++Content) {
    const bool Long = Content % 4 == 0;
    World.send(Content % 2 == 0 ? "h1" : "h2",
               testRequest("house-1", Long ? "long" : "short",
                           Long ? 90'000 : 2000, Content));
    RequestHead Confirm = testRequest("house-1", "confirm", 50, Content);
    Confirm.Operation = World.makeOperationKey();
    World.send("h1", Confirm);
    World.runFor(milliseconds(50));
  }
  World.killUpstream("e2");
  World.runFor(seconds(30));
  return Record;
}

TEST(KernelPurityTest, TheSameEventsAndSeedGiveTheSameActions) {
  VirtualDeployment World({});
  const std::vector<Handled> Record = recordedRun(World);
  ASSERT_GT(Record.size(), 500u);
  const VirtualHost &Host = *World.hosts().at("h1");
  const auto Alone = World.makeKernel(Host.listing(), Host.life(), Host.seed());
  for (const Handled &Each : Record) {
    const std::vector<Action> Again = Alone->handle(Each.What, Each.At);
    ASSERT_EQ(Again.size(), Each.Wanted.size());
    for (std::size_t At = 0; At < Again.size(); ++At)
      ASSERT_TRUE(areEqual(Again[At], Each.Wanted[At]))
          << "an action of kind " << Again[At].index() << " differs";
  }
}

} // namespace
} // namespace banyanpick
