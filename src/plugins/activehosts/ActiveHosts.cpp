#include "plugins/activehosts/ActiveHosts.h"

#include "base/RendezvousHash.h"

#include <algorithm>
#include <tuple>

namespace banyanpick {

namespace {

constexpr double ThousandthsPerCore = 1000;

/// A host with less than this share of the largest host's processor is small.
constexpr double SmallHostShare = 0.25;

/// Small hosts are selected only up to this share of the required capacity. The
/// required capacity is used by half with all engines full, so that three
/// quarters of the processor are used then.
constexpr double ShareWithSmallHosts = 2.0 / 3;

/// A candidate with its rank in the selection order.
struct RankedCandidate {
  const ActiveCandidate *Candidate = nullptr;
  std::uint64_t Weight = 0;
  std::size_t ZoneRank = 0; ///< Rank within its data centre.
};

std::vector<RankedCandidate>
rankCandidates(std::span<const ActiveCandidate> All) {
  std::vector<RankedCandidate> Result;
  for (const ActiveCandidate &Candidate : All)
    Result.push_back(
        {&Candidate, rendezvousWeight("active", Candidate.Host.Value), 0});
  std::ranges::sort(Result, [](const RankedCandidate &First,
                               const RankedCandidate &Second) {
    return std::tie(First.Candidate->Zone,
                    Second.Candidate->Processor.Thousandths, Second.Weight) <
           std::tie(Second.Candidate->Zone,
                    First.Candidate->Processor.Thousandths, First.Weight);
  });
  for (std::size_t Index = 1; Index < Result.size(); ++Index)
    if (Result[Index].Candidate->Zone == Result[Index - 1].Candidate->Zone)
      Result[Index].ZoneRank = Result[Index - 1].ZoneRank + 1;
  std::ranges::sort(
      Result, [](const RankedCandidate &First, const RankedCandidate &Second) {
        return std::tie(First.ZoneRank, Second.Candidate->Processor.Thousandths,
                        Second.Weight) <
               std::tie(Second.ZoneRank, First.Candidate->Processor.Thousandths,
                        First.Weight);
      });
  return Result;
}

/// Returns the processor of the largest candidate, in cores.
double largestProcessor(std::span<const ActiveCandidate> Candidates) {
  std::uint32_t Largest = 0;
  for (const ActiveCandidate &Candidate : Candidates)
    Largest = std::max(Largest, Candidate.Processor.Thousandths);
  return Largest / ThousandthsPerCore;
}

} // namespace

std::vector<HostId> chooseActive(std::span<const ActiveCandidate> Candidates,
                                 const RequiredCapacity &Required) {
  std::vector<HostId> Result;
  const double SmallBelow = largestProcessor(Candidates) * SmallHostShare;
  double Cores = 0;
  for (const RankedCandidate &Ranked : rankCandidates(Candidates)) {
    const double Processor =
        Ranked.Candidate->Processor.Thousandths / ThousandthsPerCore;
    const double Needed = Processor < SmallBelow
                              ? Required.Cores * ShareWithSmallHosts
                              : Required.Cores;
    if (Result.size() >= Required.MinHosts && Cores >= Needed)
      continue;
    Result.push_back(Ranked.Candidate->Host);
    Cores += Processor;
  }
  std::ranges::sort(Result);
  return Result;
}

} // namespace banyanpick
