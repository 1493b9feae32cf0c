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
constexpr std::size_t MinEnginesPerPart = 96;

/// Hosts of a part, at the least, so that the loss of several leaves some.
constexpr std::size_t MinHostsPerPart = 8;

/// A part takes no further host once it has so many times its even share of
/// processor: little enough for even load, and so much that few hosts move when
/// one comes or goes.
constexpr double MaxShareFactor = 1.1;

std::uint64_t preferenceOf(const HostId &Host, std::uint32_t Part) {
  return rendezvousWeight(std::to_string(Part), Host.Value);
}

/// Places of the hosts, those with most processor first: what is left over is
/// then evened out by small ones.
std::vector<std::size_t>
byDecreasingProcessor(std::span<const ActiveCandidate> Hosts) {
  std::vector<std::size_t> Result(Hosts.size());
  std::iota(Result.begin(), Result.end(), 0);
  std::ranges::sort(Result, {}, [&](std::size_t Index) {
    const ActiveCandidate &Candidate = Hosts[Index];
    return std::tuple(
        -static_cast<std::int64_t>(Candidate.Processor.Thousandths),
        rendezvousWeight("order", Candidate.Host.Value), Candidate.Host.Value);
  });
  return Result;
}

/// The part that the host likes best among those with room; any has some.
std::uint32_t choosePart(const HostId &Host,
                         std::span<const double> AssignedProcessor,
                         double MaxProcessor) {
  std::uint32_t Best = 0;
  std::uint64_t BestPreference = 0;
  bool Found = false;
  for (std::uint32_t Part = 0; Part < AssignedProcessor.size(); ++Part) {
    if (AssignedProcessor[Part] >= MaxProcessor)
      continue;
    const std::uint64_t Preference = preferenceOf(Host, Part);
    if (Found && Preference <= BestPreference)
      continue;
    Best = Part;
    BestPreference = Preference;
    Found = true;
  }
  return Best;
}

} // namespace

std::uint32_t partCount(std::size_t Engines, std::size_t ActiveHosts) {
  const std::size_t MaxParts =
      std::min(Engines / MinEnginesPerPart, ActiveHosts / MinHostsPerPart);
  return static_cast<std::uint32_t>(
      std::bit_floor(std::max<std::size_t>(MaxParts, 1)));
}

std::vector<std::uint32_t> assignParts(std::span<const ActiveCandidate> Hosts,
                                       std::uint32_t Parts) {
  std::vector<std::uint32_t> Result(Hosts.size(), 0);
  if (Parts <= 1)
    return Result;
  const auto Sum =
      std::accumulate(Hosts.begin(), Hosts.end(), 0.0,
                      [](double Before, const ActiveCandidate &Candidate) {
                        return Before + Candidate.Processor.Thousandths;
                      });
  const double MaxProcessor = Sum / Parts * MaxShareFactor;
  std::vector<double> AssignedProcessor(Parts, 0);
  for (const std::size_t Index : byDecreasingProcessor(Hosts)) {
    Result[Index] =
        choosePart(Hosts[Index].Host, AssignedProcessor, MaxProcessor);
    AssignedProcessor[Result[Index]] += Hosts[Index].Processor.Thousandths;
  }
  return Result;
}

std::uint32_t preferredPart(const HostId &Host, std::uint32_t Parts) {
  const std::vector<double> Empty(Parts, 0);
  return choosePart(Host, Empty, 1);
}

} // namespace banyanpick
