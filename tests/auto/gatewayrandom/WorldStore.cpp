#include "auto/gatewayrandom/WorldStore.h"

namespace banyanpick {

void WorldStore::enlist(const EngineRecord &Engine) {
  this->append({Engine, false, 0});
  this->Engines[Engine.Id] = this->Changes.back();
}

void WorldStore::strike(const UpstreamId &Engine) {
  EngineRecord Gone;
  Gone.Id = Engine;
  this->append({Gone, true, 0});
  this->Engines.erase(Engine);
}

EnginesRead WorldStore::list() const {
  EnginesRead Result;
  for (const auto &[Id, Each] : this->Engines)
    Result.Changes.push_back(Each);
  Result.Complete = true;
  Result.UpTo = this->end();
  return Result;
}

EnginesRead WorldStore::readFrom(LogOffset From) const {
  EnginesRead Result;
  for (LogOffset Each = From; Each < this->end(); ++Each)
    Result.Changes.push_back(this->Changes[Each]);
  Result.UpTo = this->end();
  return Result;
}

void WorldStore::append(EngineChange Change) {
  Change.Offset = this->end();
  this->Changes.push_back(std::move(Change));
}

} // namespace banyanpick
