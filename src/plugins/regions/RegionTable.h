/// \file
/// The table from zones to regions.
#pragma once

#include "kernel/GatewayServices.h"

#include <map>
#include <string_view>

namespace banyanpick {

/// The regions of the zones, as the settings declare them.
class RegionTable {
public:
  RegionTable() = default;
  /// \p Text consists of entries `zone=region`, separated by commas. Malformed
  /// entries are ignored.
  explicit RegionTable(std::string_view Text);

  /// Returns the malformed entries.
  std::span<const std::string> malformed() const { return this->Malformed; }
  /// Returns the region of the zone, or an empty name.
  RegionId regionOf(const ZoneId &Zone) const;
  bool hasZones(const RegionId &Region) const;
  /// Whether requests with these home regions may run in the zone. A zone that
  /// the table does not contain is in no home region. An empty table restricts
  /// nothing.
  bool isHome(const ZoneId &Zone, const HomeRegions &Homes) const;

private:
  std::map<ZoneId, RegionId> Regions;
  std::vector<std::string> Malformed;
};

} // namespace banyanpick
