#include "plugins/activehosts/EngineParts.h"

#include "base/RendezvousHash.h"

#include <algorithm>
#include <bit>
#include <numeric>
#include <tuple>

namespace banyanpick {

namespace {

/// Minimum number of engines in a part. This is enough for a long prompt to
/// find idle engines beside those that are decoding.
constexpr std::size_t MinEnginesPerPart = 96;

/// Minimum number of hosts in a part, so that the part survives the loss of
/// several hosts.
constexpr std::size_t MinHostsPerPart = 8;

/// A part gets no further host once its processor reaches this multiple of an
/// even share. The factor is small enough for an even load and large enough
/// that few hosts change their part when a host joins or leaves.
constexpr double MaxShareFactor = 1.1;

std::uint64_t preferenceOf(const HostId &Host, std::uint32_t Part) {
  return rendezvousWeight(std::to_string(Part), Host.Value);
}

/// Returns the indexes of the hosts, those with the most processor first, so
/// that small hosts even out the remaining differences.
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

/// Returns the part with the highest preference of the host among the parts
/// below \p MaxProcessor. At least one part is always below it.
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
