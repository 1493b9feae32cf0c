/// \file
/// The evacuation records that this host knows.
#pragma once

#include "gateway/Evacuation.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace banyanpick {

/// Merges the records that arrive from the store and from peers, in any order
/// and repeatedly. The record with the highest offset decides about a zone.
///
/// A record that ended an evacuation is kept, because a peer that was cut off
/// may still send the record that began it. Zones without such a record are
/// decided by the last complete listing of the store: what was written before
/// it and is not in it has been removed.
class EvacuationRecords {
public:
  enum class Result {
    Applied,
    Known,  ///< Nothing changed.
    NoRoom, ///< MaxEvacuationRecords other zones are evacuated.
  };

  /// Applies a record that was read from the store.
  Result applyStored(const EvacuationRecord &Record);
  /// Applies a record that a peer sent. If the listing of the store shows that
  /// the evacuation has ended, the peer's record is replaced by one that tells
  /// this to the peer.
  Result applyPeer(const EvacuationRecord &Record);
  /// Ends the evacuations that a complete listing does not contain. \p UpTo is
  /// the offset that the listing covers. Returns whether anything changed.
  bool applyListing(std::span<const EvacuationRecord> Listed, LogOffset UpTo);

  bool isEvacuated(const ZoneId &Zone) const;
  /// Returns the record of each zone, ordered by zone.
  std::vector<EvacuationRecord> all() const;
  std::vector<ZoneId> evacuated() const;

private:
  const EvacuationRecord *find(const ZoneId &Zone) const;
  /// Removes the oldest record that ended an evacuation, if there is no room
  /// for a record of \p Zone. Returns whether there is room.
  bool makeRoom(const ZoneId &Zone);

  std::map<ZoneId, EvacuationRecord> Records;
  /// The last complete listing contains all records before this offset.
  LogOffset ListedTo = 0;
};

} // namespace banyanpick
