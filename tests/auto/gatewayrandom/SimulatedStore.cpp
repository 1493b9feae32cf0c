#include "auto/gatewayrandom/SimulatedStore.h"

namespace banyanpick {

void SimulatedStore::evacuate(const ZoneId &Zone, bool Active) {
  this->Evacuations.push_back({Zone, Active, this->evacuationsEnd()});
}

bool SimulatedStore::isEvacuated(const ZoneId &Zone) const {
  bool Result = false;
  for (const EvacuationRecord &Record : this->Evacuations)
    if (Record.Zone == Zone)
      Result = Record.Active;
  return Result;
}

EvacuationsRead SimulatedStore::readEvacuations(LogOffset From,
                                                bool List) const {
  EvacuationsRead Result;
  Result.Complete = List;
  Result.UpTo = this->evacuationsEnd();
  std::map<ZoneId, EvacuationRecord> Newest;
  for (const EvacuationRecord &Record : this->Evacuations) {
    Newest[Record.Zone] = Record;
    if (!List && Record.Offset >= From)
      Result.Records.push_back(Record);
  }
  for (const auto &[Zone, Record] : Newest)
    if (List && Record.Active)
      Result.Records.push_back(Record);
  return Result;
}

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
