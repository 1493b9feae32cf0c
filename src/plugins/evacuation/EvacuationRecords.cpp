#include "plugins/evacuation/EvacuationRecords.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Returns whether the record replaces the known one. At equal offsets the end
/// of an evacuation has precedence: it was derived from a listing that does not
/// contain the record any more.
bool isNewer(const EvacuationRecord &Record, const EvacuationRecord &Known) {
  if (Record.Offset != Known.Offset)
    return Record.Offset > Known.Offset;
  return Known.Active && !Record.Active;
}

} // namespace

EvacuationRecords::Result
EvacuationRecords::applyStored(const EvacuationRecord &Record) {
  const EvacuationRecord *Known = this->find(Record.Zone);
  if (Known && !isNewer(Record, *Known))
    return Result::Known;
  if (!this->makeRoom(Record.Zone))
    return Result::NoRoom;
  this->Records[Record.Zone] = Record;
  return Result::Applied;
}

EvacuationRecords::Result
EvacuationRecords::applyPeer(const EvacuationRecord &Record) {
  const EvacuationRecord *Known = this->find(Record.Zone);
  if (Known && !isNewer(Record, *Known))
    return Result::Known;
  if (Record.Offset >= this->ListedTo || !Record.Active)
    return this->applyStored(Record);
  // The listing contains a newer state of the zone than the peer knows.
  if (Known && Known->Active)
    return Result::Known;
  return this->applyStored({Record.Zone, false, this->ListedTo - 1});
}

bool EvacuationRecords::applyListing(std::span<const EvacuationRecord> Listed,
                                     LogOffset UpTo) {
  bool Changed = false;
  for (auto &[Zone, Record] : this->Records) {
    const bool IsListed =
        std::ranges::find(Listed, Zone, &EvacuationRecord::Zone) !=
        Listed.end();
    if (IsListed || !Record.Active || Record.Offset >= UpTo)
      continue;
    Record = {Zone, false, UpTo - 1};
    Changed = true;
  }
  this->ListedTo = std::max(this->ListedTo, UpTo);
  return Changed;
}

bool EvacuationRecords::isEvacuated(const ZoneId &Zone) const {
  const EvacuationRecord *Known = this->find(Zone);
  return Known && Known->Active;
}

std::vector<EvacuationRecord> EvacuationRecords::all() const {
  std::vector<EvacuationRecord> Result;
  Result.reserve(this->Records.size());
  for (const auto &[Zone, Record] : this->Records)
    Result.push_back(Record);
  return Result;
}

std::vector<ZoneId> EvacuationRecords::evacuated() const {
  std::vector<ZoneId> Result;
  for (const auto &[Zone, Record] : this->Records)
    if (Record.Active)
      Result.push_back(Zone);
  return Result;
}

const EvacuationRecord *EvacuationRecords::find(const ZoneId &Zone) const {
  const auto Found = this->Records.find(Zone);
  return Found == this->Records.end() ? nullptr : &Found->second;
}

bool EvacuationRecords::makeRoom(const ZoneId &Zone) {
  if (this->Records.size() < MaxEvacuationRecords ||
      this->Records.contains(Zone))
    return true;
  auto Oldest = this->Records.end();
  for (auto It = this->Records.begin(); It != this->Records.end(); ++It)
    if (!It->second.Active && (Oldest == this->Records.end() ||
                               It->second.Offset < Oldest->second.Offset))
      Oldest = It;
  if (Oldest == this->Records.end())
    return false;
  this->Records.erase(Oldest);
  return true;
}

} // namespace banyanpick
