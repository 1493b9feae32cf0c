/// \file
/// Guards against a host that answers nobody any more because a plug-in has
/// thrown an exception.
#include "app/Control.h"
#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <stdexcept>

namespace banyanpick {
namespace {

/// Throws on the order to stop and counts the callers that disconnect.
class ThrowingPlugin : public Plugin {
public:
  void initialize(PluginContext &) override {}
  void handle(const Event &Input, Time, Actions &Out) override {
    match(
        Input,
        [](const StopRequest &) { throw std::out_of_range("no such entry"); },
        [&](const CallerDisconnected &) { Out.add(StopNow{}); },
        [](const auto &) {});
  }
};

const PluginRegistration Registration(
    {"throwing",
     {},
     [] { return std::vector<SettingDeclaration>(); },
     [] { return std::unique_ptr<Plugin>(std::make_unique<ThrowingPlugin>()); },
     PluginUse::Gateway});

/// Gets each event after the one that throws.
class LaterPlugin : public Plugin {
public:
  void initialize(PluginContext &) override {}
  void handle(const Event &Input, Time, Actions &Out) override {
    if (std::holds_alternative<StopRequest>(Input))
      Out.count("stops");
  }
};

const PluginRegistration LaterRegistration(
    {"later",
     {"throwing"},
     [] { return std::vector<SettingDeclaration>(); },
     [] { return std::unique_ptr<Plugin>(std::make_unique<LaterPlugin>()); },
     PluginUse::Gateway});

/// Collects the actions of the kernel.
class Performer : public ActionPerformer {
public:
  void perform(std::vector<Action> Wanted) override {
    const std::lock_guard Lock(this->Mutex);
    for (const Action &Item : Wanted) {
      const auto *Line = std::get_if<WriteLogLine>(&Item);
      if (Line && Line->Line.Number == events::InvariantBroken.Number)
        ++this->BrokenInvariants;
      const auto *Count = std::get_if<RecordMeasurement>(&Item);
      if (Count && Count->Name == "stops")
        ++this->CountedStops;
      this->HasStopped |= std::holds_alternative<StopNow>(Item);
    }
    this->Changed.notify_all();
  }
  bool waitForStop() {
    std::unique_lock Lock(this->Mutex);
    return this->Changed.wait_for(Lock, seconds(10),
                                  [this] { return this->HasStopped; });
  }
  int brokenInvariants() {
    const std::lock_guard Lock(this->Mutex);
    return this->BrokenInvariants;
  }

  int countedStops() {
    const std::lock_guard Lock(this->Mutex);
    return this->CountedStops;
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  int BrokenInvariants = 0;
  int CountedStops = 0;
  bool HasStopped = false;
};

TEST(Control, HandlesEventsAfterAPluginHasThrown) {
  const ProcessClock Clock;
  Performer Router;
  HostState State;
  Control Events(Clock);
  Events.start(std::make_unique<Kernel>(Identity(),
                                        Settings::defaults(pluginSettings()), 1,
                                        ServingMode::Gateway),
               Router, State);
  Events.send(StopRequest{});
  Events.send(CallerDisconnected{RequestId(1)});
  EXPECT_TRUE(Router.waitForStop());
  EXPECT_EQ(Router.brokenInvariants(), 1);
  EXPECT_EQ(Router.countedStops(), 1) << "the other plug-ins get the event";
}

} // namespace
} // namespace banyanpick
