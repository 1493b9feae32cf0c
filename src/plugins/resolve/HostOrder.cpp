#include "plugins/resolve/HostOrder.h"

#include "base/RendezvousHash.h"

#include <algorithm>
#include <tuple>

namespace banyanpick {

namespace {

struct RankedHost {
  bool InOtherZone = false;
  std::uint64_t Weight = 0;
  const CallerHost *Host = nullptr;
};

} // namespace

std::vector<Address> orderHosts(std::span<const CallerHost> Hosts,
                                const ZoneId &Nearest, std::string_view Key,
                                std::size_t MaxCount) {
  std::vector<RankedHost> Ranked;
  for (const CallerHost &Candidate : Hosts)
    Ranked.push_back({Candidate.Zone != Nearest,
                      rendezvousWeight(Key, Candidate.Host.Value), &Candidate});
  std::ranges::sort(
      Ranked, [](const RankedHost &First, const RankedHost &Second) {
        return std::tie(First.InOtherZone, Second.Weight, First.Host->Host) <
               std::tie(Second.InOtherZone, First.Weight, Second.Host->Host);
      });
  const auto FirstInOtherZone =
      std::ranges::find(Ranked, true, &RankedHost::InOtherZone);
  const auto NearestCount =
      static_cast<std::size_t>(FirstInOtherZone - Ranked.begin());
  const bool OnlyNearest = MaxCount > 1 && NearestCount >= MaxCount &&
                           FirstInOtherZone != Ranked.end();
  if (OnlyNearest)
    std::swap(Ranked[MaxCount - 1], *FirstInOtherZone);
  std::vector<Address> Result;
  for (const RankedHost &Entry : Ranked)
    if (Result.size() < MaxCount)
      Result.push_back(Entry.Host->Callers);
  return Result;
}

} // namespace banyanpick
