#include "kernel/Kernel.h"

#include "base/EventNumbers.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

Kernel::Kernel(Identity SelfGiven, Settings ValuesGiven, std::uint64_t Seed,
               ServingMode Mode)
    : Self(std::move(SelfGiven)), Values(std::move(ValuesGiven)),
      Numbers(Seed) {
  PluginContext Context(this->Self, this->Values, this->Registry,
                        this->Numbers);
  for (const PluginDescription &Description : pluginsFor(Mode)) {
    this->Plugins.push_back(Description.Make());
    this->Plugins.back()->initialize(Context);
  }
}

Kernel::~Kernel() = default;

std::vector<Action> Kernel::handle(const Event &Input, Time Now) {
  this->Latest = std::max(this->Latest, Now);
  Actions Out;
  if (!this->Started)
    this->start(this->Latest, Out);
  for (const auto &Plugin : this->Plugins)
    this->guard([&] { Plugin->handle(Input, this->Latest, Out); }, Out);
  if (++this->Events % this->Interval == 0)
    this->checkInvariants(this->Latest, Out);
  return Out.take();
}

Time Kernel::nextWake() const {
  Time Earliest = Never;
  for (const auto &Plugin : this->Plugins)
    Earliest = std::min(Earliest, Plugin->nextWake());
  return Earliest;
}

void Kernel::start(Time Now, Actions &Out) {
  this->Started = true;
  for (const auto &Plugin : this->Plugins)
    this->guard([&] { Plugin->start(Now, Out); }, Out);
}

template <class Function> void Kernel::guard(Function Call, Actions &Out) {
  try {
    Call();
  } catch (const std::exception &Failure) {
    this->Monitor.require(false, std::string("plug-ins do not throw: ") +
                                     Failure.what());
    this->reportBroken(Out);
  }
}

void Kernel::checkInvariants(Time Now, Actions &Out) {
  for (const auto &Plugin : this->Plugins)
    Plugin->checkInvariants(this->Monitor, Now);
  this->reportBroken(Out);
}

void Kernel::reportBroken(Actions &Out) {
  for (const std::string &Broken : this->Monitor.takeBroken()) {
    Out.log(
        logEvent(events::InvariantBroken).with("invariant", Broken).build());
    Out.count("invariants_broken", Broken);
  }
}

} // namespace banyanpick
