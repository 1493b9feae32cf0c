#include "plugins/fairness/LaneKey.h"

#include <array>
#include <fmt/format.h>
#include <xxhash.h>

namespace banyanpick {

namespace {

/// Prompt lengths at which a longer bucket begins.
constexpr std::array<std::uint64_t, 3> BucketBounds = {8'000, 32'000, 100'000};

std::uint32_t bucketOf(std::uint64_t PromptTokens) {
  std::uint32_t Bucket = 0;
  for (const std::uint64_t Bound : BucketBounds)
    Bucket += PromptTokens >= Bound ? 1 : 0;
  return Bucket;
}

} // namespace

std::strong_ordering LaneKey::operator<=>(const LaneKey &Other) const {
  if (const auto Order = Other.Urgency <=> this->Urgency; std::is_neq(Order))
    return Order;
  if (const auto Order = this->LengthBucket <=> Other.LengthBucket;
      std::is_neq(Order))
    return Order;
  if (const auto Order = this->IsIsolated <=> Other.IsIsolated;
      std::is_neq(Order))
    return Order;
  if (const auto Order = this->IsHeld <=> Other.IsHeld; std::is_neq(Order))
    return Order;
  if (const auto Order = this->Target <=> Other.Target; std::is_neq(Order))
    return Order;
  return this->TargetName <=> Other.TargetName;
}

LaneKey laneOf(const Request &Waiting, bool IsIsolated) {
  LaneKey Lane;
  Lane.Urgency = Waiting.Class.Urgency;
  Lane.LengthBucket = bucketOf(Waiting.Head.PromptTokens);
  Lane.IsIsolated = IsIsolated;
  Lane.Target = Waiting.Class.Target;
  Lane.TargetName = Waiting.Class.TargetName;
  return Lane;
}

LaneKey agedLaneOf(LaneKey Lane) {
  Lane.Urgency = AgedUrgency;
  return Lane;
}

std::uint32_t hashOf(const LaneKey &Lane) {
  const std::string Text = fmt::format(
      "{}/{}/{}/{}/{}", Lane.Urgency, Lane.LengthBucket, Lane.IsIsolated,
      static_cast<int>(Lane.Target), Lane.TargetName);
  const auto Hash = static_cast<std::uint32_t>(
      XXH64(Text.data(), Text.size(), 0) & 0xffffffffU);
  return Hash == 0 ? 1 : Hash;
}

} // namespace banyanpick
