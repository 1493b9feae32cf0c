/// \file
/// What the engine load keeps about zones.
#include "plugins/engineload/EngineLoadPlugin.h"

#include "base/EventNumbers.h"
#include "plugins/engineload/ShortPlacement.h"

#include <algorithm>
#include <utility>

namespace banyanpick {

std::size_t EngineLoadPlugin::zoneNumber(const ZoneId &Zone) {
  const auto Found = std::ranges::find(this->OtherZones, Zone);
  const auto Number =
      static_cast<std::size_t>(Found - this->OtherZones.begin()) + 1;
  if (Found == this->OtherZones.end())
    this->OtherZones.push_back(Zone);
  return Number;
}

std::size_t EngineLoadPlugin::frontOf(std::span<const EngineState> States,
                                      std::uint32_t Slots, Time Now) {
  if (this->Weights.ZoneFront) {
    this->LastFront = frontByZone(States, Slots, this->Weights);
    return this->LastFront.Engines;
  }
  std::uint32_t ShortRunning = 0;
  for (const auto &[Id, Load] : this->Loads)
    ShortRunning += Load.shortRunning(Now);
  return frontEngines(States.size(), ShortRunning, Slots, this->Weights);
}

void EngineLoadPlugin::logFront(Actions &Out) {
  const bool IsInOwnZone = this->LastFront.IsInOwnZone;
  if (IsInOwnZone ==
      std::exchange(this->LoggedFront, this->LastFront).IsInOwnZone)
    return;
  Out.log(logEvent(events::ShortPromptFrontChanged)
              .with("in_own_zone", IsInOwnZone ? "true" : "false")
              .with("engines", this->LastFront.Engines)
              .build());
}

} // namespace banyanpick
