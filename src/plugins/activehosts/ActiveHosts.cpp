#include "plugins/activehosts/ActiveHosts.h"

#include "base/RendezvousHash.h"

#include <algorithm>
#include <tuple>

namespace banyanpick {

namespace {

constexpr double ThousandthsOfOne = 1000;

/// A candidate with its place in the order of choice.
struct Ranked {
  const ActiveCandidate *Of = nullptr;
  std::uint64_t Weight = 0;
  std::size_t InZone = 0; ///< Place among those of its data centre.
};

std::vector<Ranked> inOrderOfChoice(std::span<const ActiveCandidate> All) {
  std::vector<Ranked> Result;
  for (const ActiveCandidate &Each : All)
    Result.push_back({&Each, rendezvousWeight("active", Each.Host.Value), 0});
  std::ranges::sort(Result, [](const Ranked &First, const Ranked &Second) {
    return std::tie(First.Of->Zone, Second.Of->Processor.Thousandths,
                    Second.Weight) < std::tie(Second.Of->Zone,
                                              First.Of->Processor.Thousandths,
                                              First.Weight);
  });
  for (std::size_t At = 1; At < Result.size(); ++At)
    if (Result[At].Of->Zone == Result[At - 1].Of->Zone)
      Result[At].InZone = Result[At - 1].InZone + 1;
  std::ranges::sort(Result, [](const Ranked &First, const Ranked &Second) {
    return std::tie(First.InZone, Second.Of->Processor.Thousandths,
                    Second.Weight) < std::tie(Second.InZone,
                                              First.Of->Processor.Thousandths,
                                              First.Weight);
  });
  return Result;
}

} // namespace

std::vector<HostId> chooseActive(std::span<const ActiveCandidate> Candidates,
                                 const ActiveNeed &Need) {
  std::vector<HostId> Result;
  double Cores = 0;
  for (const Ranked &Each : inOrderOfChoice(Candidates)) {
    if (Result.size() >= Need.LeastHosts && Cores >= Need.Cores)
      break;
    Result.push_back(Each.Of->Host);
    Cores += Each.Of->Processor.Thousandths / ThousandthsOfOne;
  }
  std::ranges::sort(Result);
  return Result;
}

} // namespace banyanpick
