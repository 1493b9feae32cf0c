#include "plugins/routing/LongPromptPool.h"

#include "base/RendezvousHash.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

namespace {

/// Demand of this age counts half.
constexpr Duration HalfLife = seconds(30);

/// Long prompts arrive in bursts. Open engines beyond the share of long prompts
/// in the demand absorb the bursts.
constexpr double Headroom = 1.25;

/// The current share changes when it differs by more than this from the target.
constexpr double Hysteresis = 0.1;

/// Share before any demand arrives.
constexpr double InitialShare = 0.3;

/// The remaining engines never take long prompts.
constexpr double MaxShare = 0.75;

/// Returns the rank of an engine. Engines with the highest rank are open first.
std::uint64_t rank(const UpstreamId &Engine) {
  return rendezvousWeight("open to long prompts", Engine.Value);
}

} // namespace

void LongPromptPool::addDemand(bool IsLong, std::uint64_t Tokens, Time Now) {
  this->decay(Now);
  this->AllTokens += static_cast<double>(Tokens);
  if (IsLong)
    this->LongTokens += static_cast<double>(Tokens);
}

std::uint32_t LongPromptPool::countOpen(std::uint32_t Engines) {
  const double TargetShare =
      this->AllTokens > 0
          ? std::min(MaxShare, Headroom * this->LongTokens / this->AllTokens)
          : InitialShare;
  if (this->OpenShare == 0 ||
      std::abs(TargetShare - this->OpenShare) > Hysteresis)
    this->OpenShare = TargetShare;
  const auto Open =
      static_cast<std::uint32_t>(std::ceil(this->OpenShare * Engines));
  return std::clamp(Open, std::uint32_t(1),
                    std::max(std::uint32_t(1), Engines - 1));
}

void LongPromptPool::update(const ModelId &Model, const FleetView &Fleet,
                            Time Now) {
  ModelPool &Pool = this->Pools[Model];
  const auto Upstreams = Fleet.upstreams();
  const bool IsCurrent = Now < Pool.UpdatedAt + UpdateInterval &&
                         Pool.FleetSize == Upstreams.size();
  if (IsCurrent)
    return;
  Pool.UpdatedAt = Now;
  Pool.FleetSize = Upstreams.size();
  for (const std::uint32_t Position : Pool.Open)
    if (Position < Upstreams.size())
      this->OpenIds.erase(Upstreams[Position].Listing.Id);

  std::vector<std::pair<std::uint64_t, std::uint32_t>> Ranked;
  for (const std::uint32_t Position : Fleet.enginesWith(Model))
    if (Upstreams[Position].State == UpstreamState::Live)
      Ranked.emplace_back(rank(Upstreams[Position].Listing.Id), Position);
  std::sort(Ranked.rbegin(), Ranked.rend());
  Ranked.resize(std::min<std::size_t>(
      Ranked.size(),
      this->countOpen(static_cast<std::uint32_t>(Ranked.size()))));
  Pool.Open.clear();
  for (const auto &[Rank, Position] : Ranked) {
    Pool.Open.push_back(Position);
    this->OpenIds.insert(Upstreams[Position].Listing.Id);
  }
}

std::span<const std::uint32_t>
LongPromptPool::open(const ModelId &Model) const {
  const auto Found = this->Pools.find(Model);
  if (Found == this->Pools.end())
    return {};
  return Found->second.Open;
}

void LongPromptPool::decay(Time Now) {
  const double HalfLives =
      inSeconds(Now - this->DecayedAt) / inSeconds(HalfLife);
  const double Factor = std::exp2(-std::min(HalfLives, 60.0));
  this->LongTokens *= Factor;
  this->AllTokens *= Factor;
  this->DecayedAt = Now;
}

} // namespace banyanpick
