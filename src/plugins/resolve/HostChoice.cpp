#include "plugins/resolve/HostChoice.h"

#include "base/RendezvousHash.h"

#include <algorithm>
#include <tuple>

namespace banyanpick {

namespace {

struct RankedHost {
  bool Far = false;
  std::uint64_t Weight = 0;
  const CallerHost *Host = nullptr;
};

} // namespace

std::vector<Address> orderHosts(std::span<const CallerHost> Hosts,
                                const ZoneId &Nearest, std::string_view Key,
                                std::size_t Most) {
  std::vector<RankedHost> Ranked;
  for (const CallerHost &Each : Hosts)
    Ranked.push_back(
        {Each.Zone != Nearest, rendezvousWeight(Key, Each.Host.Value), &Each});
  std::ranges::sort(
      Ranked, [](const RankedHost &First, const RankedHost &Second) {
        return std::tie(First.Far, Second.Weight, First.Host->Host) <
               std::tie(Second.Far, First.Weight, Second.Host->Host);
      });
  const auto FirstFar = std::ranges::find(Ranked, true, &RankedHost::Far);
  const auto Near = static_cast<std::size_t>(FirstFar - Ranked.begin());
  const bool OnlyNear = Most > 1 && Near >= Most && FirstFar != Ranked.end();
  if (OnlyNear)
    std::swap(Ranked[Most - 1], *FirstFar);
  std::vector<Address> Result;
  for (const RankedHost &Each : Ranked)
    if (Result.size() < Most)
      Result.push_back(Each.Host->Callers);
  return Result;
}

} // namespace banyanpick
