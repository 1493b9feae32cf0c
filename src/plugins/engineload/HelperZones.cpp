#include "plugins/engineload/HelperZones.h"

namespace banyanpick {

namespace {

/// Returns the indices of the engines in each zone, by zone number.
std::vector<std::vector<std::size_t>>
groupByZone(std::span<const EngineState> States,
            std::span<const std::size_t> Engines) {
  std::vector<std::vector<std::size_t>> Result;
  for (const std::size_t Index : Engines) {
    const std::size_t Zone = States[Index].Zone;
    if (Zone >= Result.size())
      Result.resize(Zone + 1);
    Result[Zone].push_back(Index);
  }
  return Result;
}

} // namespace

std::size_t zoneCrossings(std::span<const EngineState> States,
                          std::span<const std::size_t> Engines) {
  std::vector<std::size_t> Counts;
  for (const std::size_t Index : Engines) {
    const std::size_t Zone = States[Index].Zone;
    if (Zone >= Counts.size())
      Counts.resize(Zone + 1);
    ++Counts[Zone];
  }
  // The own zone is the first, so it is preferred among groups of equal size.
  const auto Largest = std::ranges::max_element(Counts);
  if (Largest == Counts.end())
    return 0;
  const bool IsRemote = Largest != Counts.begin();
  return Engines.size() - *Largest + (IsRemote ? 1 : 0);
}

std::vector<std::vector<std::size_t>>
candidatesByZone(std::span<const EngineState> States,
                 std::span<const std::size_t> Candidates,
                 std::size_t MinCount) {
  auto Groups = groupByZone(States, Candidates);
  const bool IsOneZone = std::ranges::any_of(Groups, [&](const auto &Group) {
    return Group.size() == Candidates.size();
  });
  if (IsOneZone)
    return {};
  std::erase_if(Groups,
                [&](const auto &Group) { return Group.size() < MinCount; });
  return Groups;
}

} // namespace banyanpick
