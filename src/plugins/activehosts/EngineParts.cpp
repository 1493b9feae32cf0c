#include "plugins/activehosts/EngineParts.h"

#include "base/RendezvousHash.h"

#include <algorithm>
#include <bit>
#include <numeric>
#include <tuple>

namespace banyanpick {

namespace {

/// Engines of a part, at the least: enough that a long prompt finds clear ones
/// beside those that write.
constexpr std::size_t LeastEngines = 96;

/// Hosts of a part, at the least, so that the loss of several leaves some.
constexpr std::size_t LeastHosts = 8;

/// A part takes no further host once it has so many times its even share of
/// processor: little enough for even load, and so much that few hosts move when
/// one comes or goes.
constexpr double MostOfEvenShare = 1.1;

std::uint64_t likingOf(const HostId &Host, std::uint32_t Part) {
  return rendezvousWeight(std::to_string(Part), Host.Value);
}

/// Places of the hosts, those with most processor first: what is left over is
/// then evened out by small ones.
std::vector<std::size_t> inOrder(std::span<const ActiveCandidate> Hosts) {
  std::vector<std::size_t> Result(Hosts.size());
  std::iota(Result.begin(), Result.end(), 0);
  std::ranges::sort(Result, {}, [&](std::size_t At) {
    const ActiveCandidate &Each = Hosts[At];
    return std::tuple(-static_cast<std::int64_t>(Each.Processor.Thousandths),
                      rendezvousWeight("order", Each.Host.Value),
                      Each.Host.Value);
  });
  return Result;
}

/// The part that the host likes best among those with room; any has some.
std::uint32_t chooseFor(const HostId &Host, std::span<const double> Taken,
                        double Most) {
  std::uint32_t Best = 0;
  std::uint64_t BestLiking = 0;
  bool Found = false;
  for (std::uint32_t Part = 0; Part < Taken.size(); ++Part) {
    if (Taken[Part] >= Most)
      continue;
    const std::uint64_t Liking = likingOf(Host, Part);
    if (Found && Liking <= BestLiking)
      continue;
    Best = Part;
    BestLiking = Liking;
    Found = true;
  }
  return Best;
}

} // namespace

std::uint32_t partCount(std::size_t Engines, std::size_t ActiveHosts) {
  const std::size_t Most =
      std::min(Engines / LeastEngines, ActiveHosts / LeastHosts);
  return static_cast<std::uint32_t>(
      std::bit_floor(std::max<std::size_t>(Most, 1)));
}

std::vector<std::uint32_t> divideHosts(std::span<const ActiveCandidate> Hosts,
                                       std::uint32_t Parts) {
  std::vector<std::uint32_t> Result(Hosts.size(), 0);
  if (Parts <= 1)
    return Result;
  const auto Sum =
      std::accumulate(Hosts.begin(), Hosts.end(), 0.0,
                      [](double Before, const ActiveCandidate &Each) {
                        return Before + Each.Processor.Thousandths;
                      });
  const double Most = Sum / Parts * MostOfEvenShare;
  std::vector<double> Taken(Parts, 0);
  for (const std::size_t At : inOrder(Hosts)) {
    Result[At] = chooseFor(Hosts[At].Host, Taken, Most);
    Taken[Result[At]] += Hosts[At].Processor.Thousandths;
  }
  return Result;
}

std::uint32_t likedPart(const HostId &Host, std::uint32_t Parts) {
  const std::vector<double> Empty(Parts, 0);
  return chooseFor(Host, Empty, 1);
}

} // namespace banyanpick
