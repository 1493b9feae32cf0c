#include "plugins/regions/RegionTable.h"

#include "base/Text.h"

#include <algorithm>

namespace banyanpick {

namespace {

bool permits(std::span<const RegionId> Homes, const RegionId &Region) {
  return Homes.empty() || std::ranges::count(Homes, Region) > 0;
}

} // namespace

RegionTable::RegionTable(std::string_view Text) {
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find(','), Text.size());
    const std::string_view Entry = trimmed(Text.substr(0, End));
    Text.remove_prefix(std::min(End + 1, Text.size()));
    if (Entry.empty())
      continue;
    const std::size_t Equals = std::min(Entry.find('='), Entry.size());
    const std::string_view Zone = trimmed(Entry.substr(0, Equals));
    const std::string_view Region =
        trimmed(Entry.substr(std::min(Equals + 1, Entry.size())));
    if (Zone.empty() || Region.empty())
      this->Malformed.emplace_back(Entry);
    else
      this->Regions[ZoneId(std::string(Zone))] = RegionId(std::string(Region));
  }
}

RegionId RegionTable::regionOf(const ZoneId &Zone) const {
  const auto Found = this->Regions.find(Zone);
  return Found == this->Regions.end() ? RegionId() : Found->second;
}

bool RegionTable::hasZones(const RegionId &Region) const {
  return std::ranges::any_of(
      this->Regions, [&](const auto &Entry) { return Entry.second == Region; });
}

bool RegionTable::isHome(const ZoneId &Zone, const HomeRegions &Homes) const {
  if (this->Regions.empty())
    return true;
  const RegionId Region = this->regionOf(Zone);
  return permits(Homes.OfRoute, Region) && permits(Homes.OfTeam, Region);
}

} // namespace banyanpick
