#include "auto/gatewayrandom/SimulatedStore.h"

namespace banyanpick {

void SimulatedStore::registerEngine(const EngineRecord &Engine) {
  this->append({Engine, false, 0});
  this->Engines[Engine.Id] = this->Changes.back();
}

void SimulatedStore::removeEngine(const UpstreamId &Engine) {
  EngineRecord Removed;
  Removed.Id = Engine;
  this->append({Removed, true, 0});
  this->Engines.erase(Engine);
}

EnginesRead SimulatedStore::list() const {
  EnginesRead Result;
  for (const auto &[Id, Change] : this->Engines)
    Result.Changes.push_back(Change);
  Result.Complete = true;
  Result.UpTo = this->end();
  return Result;
}

EnginesRead SimulatedStore::readFrom(LogOffset From) const {
  EnginesRead Result;
  for (LogOffset Offset = From; Offset < this->end(); ++Offset)
    Result.Changes.push_back(this->Changes[Offset]);
  Result.UpTo = this->end();
  return Result;
}

void SimulatedStore::append(EngineChange Change) {
  Change.Offset = this->end();
  this->Changes.push_back(std::move(Change));
}

} // namespace banyanpick
