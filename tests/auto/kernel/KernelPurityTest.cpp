/// \file
/// A kernel is a pure state machine: the same events result in the same
/// actions, and kernels in one process share no state. Fails if a kernel
/// depends on anything except its events, its settings and its seed.
#include "harness/TestCatalogue.h"
#include "harness/VirtualDeployment.h"

#include <gtest/gtest.h>

#include <concepts>

namespace banyanpick {
namespace {

/// An event that a kernel handled and the resulting actions.
struct HandledEvent {
  Event Input;
  Time At;
  std::vector<Action> Output;
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
          return true; // Answers to operators; this test requests none.
      },
      First);
}

/// Runs two hosts in one process under load and faults. Returns the events and
/// actions of h1.
std::vector<HandledEvent> recordedRun(VirtualDeployment &Deployment) {
  std::vector<HandledEvent> Record;
  Deployment.OnHandled = [&Record](const VirtualHost &Host, const Event &Input,
                                   Time At, const std::vector<Action> &Output) {
    if (Host.name() == "h1")
      Record.push_back({Input, At, Output});
  };
  Deployment.seedCatalogue(testCatalogue({"house-1"}));
  for (const char *Name : {"e1", "e2", "e3"}) {
    EngineShape Shape;
    Shape.Id = UpstreamId(Name);
    Shape.Models = {ModelId(TestModel)};
    Deployment.addEngine(Shape, "a");
  }
  Deployment.addApplication("p1", TestService, "a");
  Deployment.addHost("h1", "a");
  Deployment.addHost("h2", "b");
  Deployment.runFor(seconds(5));
  for (std::uint64_t Content = 1; Content <= 40; ++Content) {
    const bool Long = Content % 4 == 0;
    Deployment.send(Content % 2 == 0 ? "h1" : "h2",
                    testRequest("house-1", Long ? "long" : "short",
                                Long ? 90'000 : 2000, Content));
    RequestHead Confirm = testRequest("house-1", "confirm", 50, Content);
    Confirm.Operation = Deployment.makeOperationKey();
    Deployment.send("h1", Confirm);
    Deployment.runFor(milliseconds(50));
  }
  Deployment.killUpstream("e2");
  Deployment.runFor(seconds(30));
  return Record;
}

TEST(KernelPurityTest, TheSameEventsAndSeedGiveTheSameActions) {
  VirtualDeployment Deployment({});
  const std::vector<HandledEvent> Record = recordedRun(Deployment);
  ASSERT_GT(Record.size(), 500u);
  const VirtualHost &Host = *Deployment.hosts().at("h1");
  const auto Alone =
      Deployment.makeKernel(Host.listing(), Host.life(), Host.seed());
  for (const HandledEvent &Recorded : Record) {
    const std::vector<Action> Again =
        Alone->handle(Recorded.Input, Recorded.At);
    ASSERT_EQ(Again.size(), Recorded.Output.size());
    for (std::size_t At = 0; At < Again.size(); ++At)
      ASSERT_TRUE(areEqual(Again[At], Recorded.Output[At]))
          << "an action of kind " << Again[At].index() << " differs";
  }
}

} // namespace
} // namespace banyanpick
