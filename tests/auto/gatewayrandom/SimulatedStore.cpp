#include "auto/gatewayrandom/SimulatedStore.h"

namespace banyanpick {

void SimulatedStore::registerEngine(const EngineRecord &Engine) {
  this->append({Engine, false, 0});
  this->Engines[Engine.Id] = this->Changes.back();
}

void SimulatedStore::removeEngine(const UpstreamId &Engine) {
  EngineRecord Gone;
  Gone.Id = Engine;
  this->append({Gone, true, 0});
  this->Engines.erase(Engine);
}

EnginesRead SimulatedStore::list() const {
  EnginesRead Result;
  for (const auto &[Id, Each] : this->Engines)
    Result.Changes.push_back(Each);
  Result.Complete = true;
  Result.UpTo = this->end();
  return Result;
}

EnginesRead SimulatedStore::readFrom(LogOffset From) const {
  EnginesRead Result;
  for (LogOffset Each = From; Each < this->end(); ++Each)
    Result.Changes.push_back(this->Changes[Each]);
  Result.UpTo = this->end();
  return Result;
}

void SimulatedStore::append(EngineChange Change) {
  Change.Offset = this->end();
  this->Changes.push_back(std::move(Change));
}

} // namespace banyanpick
