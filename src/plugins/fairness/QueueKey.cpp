#include "plugins/fairness/QueueKey.h"

#include <array>
#include <fmt/format.h>
#include <xxhash.h>

namespace banyanpick {

namespace {

/// Prompt lengths in tokens at which the next bucket begins.
constexpr std::array<std::uint64_t, 3> BucketBounds = {8'000, 32'000, 100'000};

std::uint32_t bucketOf(std::uint64_t PromptTokens) {
  std::uint32_t Bucket = 0;
  for (const std::uint64_t Bound : BucketBounds)
    Bucket += PromptTokens >= Bound ? 1 : 0;
  return Bucket;
}

} // namespace

std::strong_ordering QueueKey::operator<=>(const QueueKey &Other) const {
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

QueueKey queueKey(const Request &Req, bool IsIsolated) {
  QueueKey Key;
  Key.Urgency = Req.Class.Urgency;
  Key.LengthBucket = bucketOf(Req.Head.PromptTokens);
  Key.IsIsolated = IsIsolated;
  Key.Target = Req.Class.Target;
  Key.TargetName = Req.Class.TargetName;
  return Key;
}

QueueKey agedQueueKey(QueueKey Key) {
  Key.Urgency = AgedUrgency;
  return Key;
}

std::uint32_t queueHash(const QueueKey &Key) {
  const std::string Text =
      fmt::format("{}/{}/{}/{}/{}", Key.Urgency, Key.LengthBucket,
                  Key.IsIsolated, static_cast<int>(Key.Target), Key.TargetName);
  const auto Hash = static_cast<std::uint32_t>(
      XXH64(Text.data(), Text.size(), 0) & 0xffffffffU);
  return Hash == 0 ? 1 : Hash;
}

} // namespace banyanpick
