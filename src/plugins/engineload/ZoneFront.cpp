#include "plugins/engineload/ZoneFront.h"

#include "plugins/engineload/ShortPlacement.h"

namespace banyanpick {

namespace {

bool isOwnZone(const EngineState &State) { return State.Zone == 0; }

} // namespace

void orderByZone(std::span<EngineState> States) {
  const auto OwnCount =
      static_cast<std::size_t>(std::ranges::count_if(States, isOwnZone));
  std::size_t NextOwn = 0;
  std::size_t NextOther = OwnCount;
  for (EngineState &State : States)
    State.Position = isOwnZone(State) ? NextOwn++ : NextOther++;
}

ZoneFront frontByZone(std::span<const EngineState> States, std::uint32_t Slots,
                      const PlacementWeights &Weights) {
  std::size_t OwnCount = 0;
  std::uint32_t OwnShort = 0;
  std::uint32_t OtherShort = 0;
  for (const EngineState &State : States) {
    OwnCount += isOwnZone(State) ? 1 : 0;
    (isOwnZone(State) ? OwnShort : OtherShort) += State.ShortRunning;
  }
  const double Room = static_cast<double>(OwnCount) * Slots * Weights.FillShare;
  if (OwnShort + 1 <= Room)
    return {frontEngines(OwnCount, OwnShort, Slots, Weights), true};
  return {OwnCount + frontEngines(States.size() - OwnCount, OtherShort, Slots,
                                  Weights),
          false};
}

} // namespace banyanpick
