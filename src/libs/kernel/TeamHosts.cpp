#include "kernel/TeamHosts.h"

#include "base/RendezvousHash.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace banyanpick {

namespace {

struct RankedHost {
  const TeamHostCandidate *Candidate = nullptr;
  std::uint64_t Weight = 0;
  std::uint32_t RankInZone = 0;
};

bool isHeavier(const RankedHost &First, const RankedHost &Second) {
  if (First.Weight != Second.Weight)
    return First.Weight > Second.Weight;
  return First.Candidate->Host < Second.Candidate->Host;
}

std::vector<RankedHost> rankedHosts(const TeamId &Team,
                                    std::span<const TeamHostCandidate> Hosts) {
  std::vector<RankedHost> Ranked;
  Ranked.reserve(Hosts.size());
  for (const TeamHostCandidate &Candidate : Hosts)
    Ranked.push_back(
        {&Candidate, rendezvousWeight(Team.Value, Candidate.Host.Value)});
  std::sort(Ranked.begin(), Ranked.end(), isHeavier);
  std::map<ZoneId, std::uint32_t> CountByZone;
  for (RankedHost &Host : Ranked)
    Host.RankInZone = CountByZone[Host.Candidate->Zone]++;
  return Ranked;
}

} // namespace

std::size_t teamHostCount(const TeamEntry &Limits, std::size_t Hosts) {
  const bool IsUnlimited = Limits.RequestsPerMinute == 0 &&
                           Limits.TokensPerMinute == 0 &&
                           Limits.Concurrent == 0;
  if (IsUnlimited)
    return Hosts;
  const double Needed = std::max(
      {Limits.RequestsPerMinute / RequestsPerMinutePerTeamHost,
       static_cast<double>(Limits.TokensPerMinute) / TokensPerMinutePerTeamHost,
       Limits.Concurrent / ConcurrentPerTeamHost});
  const double Bounded = std::min(std::ceil(Needed), 1e6);
  return std::min(Hosts,
                  std::max(MinTeamHosts, static_cast<std::size_t>(Bounded)));
}

std::vector<HostId> teamHosts(const TeamId &Team, const TeamEntry &Limits,
                              std::span<const TeamHostCandidate> Hosts) {
  std::vector<RankedHost> Ranked = rankedHosts(Team, Hosts);
  std::stable_sort(Ranked.begin(), Ranked.end(),
                   [](const RankedHost &First, const RankedHost &Second) {
                     return First.RankInZone < Second.RankInZone;
                   });
  Ranked.resize(teamHostCount(Limits, Hosts.size()));
  std::vector<HostId> Selected;
  Selected.reserve(Ranked.size());
  for (const RankedHost &Host : Ranked)
    Selected.push_back(Host.Candidate->Host);
  return Selected;
}

} // namespace banyanpick
