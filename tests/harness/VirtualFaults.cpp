/// \file
/// Crashes, freezes and departures in a virtual deployment.
#include "harness/VirtualDeployment.h"

namespace banyanpick {

void VirtualDeployment::killUpstream(const std::string &Name) {
  const auto Found = this->Engines.find(Name);
  if (Found == this->Engines.end()) {
    this->Applications.at(Name).Alive = false;
    return this->publishHostList();
  }
  FakeEngine &Engine = Found->second;
  Engine.Alive = false;
  Engine.DeferredWork.clear();
  for (const auto &[Attempt, Stream] : std::exchange(Engine.Streams, {})) {
    VirtualHost &To = *this->Hosts.at(Stream.Host);
    this->breakAfter(this->Net.delay(Name, Stream.Host),
                     {&To, Stream.HostLife, Stream.Listener, {}}, true);
  }
  this->publishHostList();
}

void VirtualDeployment::restartUpstream(const std::string &Name) {
  const auto Found = this->Engines.find(Name);
  if (Found == this->Engines.end()) {
    FakeApplication &Application = this->Applications.at(Name);
    Application.Alive = true;
    Application.Frozen = Application.ReportsLeaving = false;
    Application.Listing.Leaving = false;
    Application.LeftAt.reset();
    Application.Listing.Life = this->newIncarnation();
    return this->publishHostList();
  }
  FakeEngine &Engine = Found->second;
  if (Engine.Alive)
    this->killUpstream(Name);
  EngineShape Shape = Engine.Model.shape();
  Engine.Listing.Life = Shape.Life = this->newIncarnation();
  Engine.Listing.Leaving = Engine.ReportsLeaving = false;
  Engine.LeftAt.reset();
  Engine.Orders.clear();
  Engine.Model = EngineModel(Shape);
  Engine.LastReport = LoadReport();
  Engine.PumpAt = Never;
  Engine.Alive = true;
  Engine.Frozen = false;
  this->publishHostList();
}

void VirtualDeployment::freeze(const std::string &Name) {
  if (const auto Host = this->Hosts.find(Name); Host != this->Hosts.end())
    return Host->second->freeze();
  if (const auto Engine = this->Engines.find(Name);
      Engine != this->Engines.end())
    Engine->second.Frozen = true;
  else
    this->Applications.at(Name).Frozen = true;
}

void VirtualDeployment::thaw(const std::string &Name) {
  if (const auto Host = this->Hosts.find(Name); Host != this->Hosts.end())
    return Host->second->thaw();
  const auto Engine = this->Engines.find(Name);
  const bool IsEngine = Engine != this->Engines.end();
  (IsEngine ? Engine->second.Frozen : this->Applications.at(Name).Frozen) =
      false;
  auto &DeferredWork = IsEngine ? Engine->second.DeferredWork
                                : this->Applications.at(Name).DeferredWork;
  for (const auto &Work : std::exchange(DeferredWork, {}))
    Work();
  if (IsEngine && Engine->second.Alive)
    this->pump(Engine->second);
}

void VirtualDeployment::leaveUpstream(const std::string &Name,
                                      bool AnnouncesLeaving) {
  const auto Engine = this->Engines.find(Name);
  if (Engine != this->Engines.end()) {
    Engine->second.Listing.Leaving = true;
    Engine->second.LeftAt = this->now();
    Engine->second.ReportsLeaving |= AnnouncesLeaving;
  } else {
    this->Applications.at(Name).Listing.Leaving = true;
    this->Applications.at(Name).LeftAt = this->now();
    this->Applications.at(Name).ReportsLeaving |= AnnouncesLeaving;
  }
  this->publishHostList();
}

void VirtualDeployment::addPoison(Fingerprint Content, Duration RestartAfter) {
  this->Poison[Content] = RestartAfter;
}

} // namespace banyanpick
