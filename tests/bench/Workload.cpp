#include "bench/Workload.h"

#include "base/Random.h"
#include "fakes/EngineModel.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

namespace {

/// A part of the mix: prompt lengths between two bounds with density 1/x, or
/// 1/x^2 if Steep is set.
struct MixPart {
  double Share;
  double Shortest;
  double Longest;
  bool Steep;
  const char *Class;
  std::uint64_t OutputTokens;
};

constexpr MixPart Mix[] = {
    {0.60, 1e3, 4e3, false, "short", 64},
    {0.30, 4e3, 32e3, false, "long", 128},
    {0.08, 32e3, 100e3, false, "long", 128},
    {0.02, 100e3, 1e6, true, "review", 256},
};

/// Share of the requests that start with the prefix of an earlier prompt of
/// their team.
constexpr double ReuseShare = 0.3;
constexpr std::uint64_t LargeTeamWeight = 4;

double promptLength(const MixPart &Part, double Fraction) {
  if (!Part.Steep)
    return Part.Shortest * std::pow(Part.Longest / Part.Shortest, Fraction);
  const double Low = 1 / Part.Shortest;
  return 1 / (Low - Fraction * (Low - 1 / Part.Longest));
}

double meanLength(const MixPart &Part) {
  constexpr int Points = 1000;
  double Sum = 0;
  for (int Point = 0; Point < Points; ++Point)
    Sum += promptLength(Part, (Point + 0.5) / Points);
  return Sum / Points;
}

const MixPart &pickPart(double Fraction) {
  for (const MixPart &Part : Mix) {
    if (Fraction < Part.Share)
      return Part;
    Fraction -= Part.Share;
  }
  return Mix[0];
}

std::uint32_t pickTeam(Random &Rng) {
  const std::uint64_t TotalWeight =
      LargeTeams * LargeTeamWeight + (Teams - LargeTeams);
  const std::uint64_t Drawn = Rng.below(TotalWeight);
  if (Drawn < LargeTeams * LargeTeamWeight)
    return static_cast<std::uint32_t>(Drawn / LargeTeamWeight);
  return static_cast<std::uint32_t>(LargeTeams + Drawn -
                                    LargeTeams * LargeTeamWeight);
}

/// Lets the request share a prefix with an earlier one of its team and class:
/// three quarters of the shorter prompt.
void reusePrefix(Arrival &Target, const std::vector<Arrival> &Earlier,
                 Random &Rng) {
  constexpr std::size_t MaxConsidered = 200;
  const std::size_t First =
      Earlier.size() > MaxConsidered ? Earlier.size() - MaxConsidered : 0;
  std::vector<const Arrival *> Candidates;
  for (std::size_t Index = First; Index < Earlier.size(); ++Index)
    if (Earlier[Index].Team == Target.Team &&
        Earlier[Index].Class == Target.Class)
      Candidates.push_back(&Earlier[Index]);
  if (Candidates.empty())
    return;
  const Arrival &Source = *Candidates[Rng.below(Candidates.size())];
  Target.PrefixContent = Source.Content;
  Target.PrefixTokens =
      std::min(Source.PromptTokens, Target.PromptTokens) * 3 / 4;
}

} // namespace

std::size_t bucketOf(std::uint64_t PromptTokens) {
  const auto Found = std::lower_bound(LengthBuckets.begin(),
                                      LengthBuckets.end(), PromptTokens);
  return static_cast<std::size_t>(Found - LengthBuckets.begin());
}

double saturation(const DeploymentShape &Shape) {
  // Under constant prefill load, each step prefills one chunk and decodes a
  // batch of DecodingBeside requests.
  constexpr int DecodingBeside = 20;
  const EngineShape Engine;
  const auto Chunk = static_cast<double>(Engine.PrefillChunkTokens);
  const double Step =
      Chunk / Engine.PrefillTokensPerSecond +
      inSeconds(Engine.StepBase + DecodingBeside * Engine.StepPerRequest);
  double MeanTokens = 0;
  for (const MixPart &Part : Mix)
    MeanTokens += Part.Share * meanLength(Part);
  return Shape.Engines * Chunk / Step / MeanTokens;
}

std::vector<Arrival> makeWorkload(const DeploymentShape &Shape, double Load,
                                  Duration Length, std::uint64_t Seed,
                                  bool WithLongPrompts) {
  Random Rng(Seed);
  const double Rate = Load * saturation(Shape);
  std::vector<Arrival> Result;
  double At = 0;
  while (true) {
    At += -std::log(1 - Rng.fraction()) / Rate;
    if (At > inSeconds(Length))
      return Result;
    const MixPart &Part = pickPart(Rng.fraction());
    Arrival New;
    New.At = fromSeconds(At);
    New.Team = pickTeam(Rng);
    New.Zone = static_cast<std::uint32_t>(Rng.below(Zones));
    New.Class = Part.Class;
    New.PromptTokens =
        static_cast<std::uint64_t>(promptLength(Part, Rng.fraction()));
    New.OutputTokens =
        Part.OutputTokens / 2 + Rng.below(Part.OutputTokens / 2 + 1);
    New.Content = Rng.below(~std::uint64_t(0));
    if (Rng.fraction() < ReuseShare)
      reusePrefix(New, Result, Rng);
    if (WithLongPrompts || !Part.Steep)
      Result.push_back(std::move(New));
  }
}

} // namespace banyanpick
