/// \file
/// The order in which the hosts of one zone gather short prompts on engines.
#pragma once

#include "plugins/engineload/EngineState.h"

namespace banyanpick {

/// Numbers the positions so that the engines of the own zone come first. Both
/// groups keep the order that is common to all hosts.
void orderByZone(std::span<EngineState> States);

/// The number of front engines of a host that gathers short prompts on the
/// engines of its own zone first.
struct ZoneFront {
  std::size_t Engines = 0;
  bool IsInOwnZone = true;
};

/// Returns the front for states ordered by orderByZone(). It stays within the
/// own zone while its engines are not filled to FillShare. Beyond that, it
/// continues with the front engines of the other zones.
///
/// Meant for many hosts that all gather their short prompts on the
/// same few engines, most of them in other zones.
ZoneFront frontByZone(std::span<const EngineState> States, std::uint32_t Slots,
                      const PlacementWeights &Weights);

} // namespace banyanpick
