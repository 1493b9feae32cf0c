/// \file
/// The operators' requests to send nothing more to the engines of a zone.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <cstddef>

namespace banyanpick {

/// The newest record about one zone. The store offset orders the records of a
/// zone, independent of which host forwards them.
struct EvacuationRecord {
  ZoneId Zone;
  bool Active = false; ///< False: the operators took the request back.
  LogOffset Offset = 0;

  bool operator==(const EvacuationRecord &) const = default;
};

/// Upper bound of the records that a host keeps and sends in each heartbeat.
inline constexpr std::size_t MaxEvacuationRecords = 32;

} // namespace banyanpick
