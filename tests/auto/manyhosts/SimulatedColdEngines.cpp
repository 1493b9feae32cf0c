/// \file
/// The cold engines of the simulation.
#include "auto/manyhosts/HostSimulation.h"

namespace banyanpick {

Time HostSimulation::coldUntil(std::size_t Engine) const {
  const auto Found = this->ColdUntil.find(Engine);
  return Found == this->ColdUntil.end() ? Time{} : Found->second;
}

void HostSimulation::setCold(std::size_t Engine, Duration For) {
  this->ColdUntil[Engine] = this->Queue.now() + For;
  this->Unregistered.erase(Engine);
  this->registerEngine(Engine);
}

void HostSimulation::unregister(std::size_t Engine) {
  this->Unregistered.insert(Engine);
  this->registerEngine(Engine);
}

bool HostSimulation::isCold(const UpstreamId &Engine) const {
  return this->isCold(this->indexOf(Engine));
}

} // namespace banyanpick
