#include "app/ContentHash.h"

#include <xxhash.h>

namespace banyanpick {

std::uint64_t estimateTokens(std::string_view Text) {
  return (Text.size() + BytesPerToken - 1) / BytesPerToken;
}

std::vector<BlockHash> promptBlocks(std::string_view Prompt) {
  constexpr std::size_t BlockBytes = PromptBlockTokens * BytesPerToken;
  std::vector<BlockHash> Result;
  Result.reserve(Prompt.size() / BlockBytes);
  BlockHash Previous = 0;
  while (Prompt.size() >= BlockBytes) {
    Previous = XXH64(Prompt.data(), BlockBytes, Previous);
    Result.push_back(Previous);
    Prompt.remove_prefix(BlockBytes);
  }
  return Result;
}

Fingerprint contentFingerprint(const ClassId &Class, std::string_view Content) {
  const std::uint64_t Seed = XXH64(Class.Value.data(), Class.Value.size(), 0);
  return Fingerprint(XXH64(Content.data(), Content.size(), Seed));
}

} // namespace banyanpick
