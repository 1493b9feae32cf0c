#include "standins/ChunkText.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace banyanpick::standins {

std::uint64_t hashOfPrompt(std::string_view Prompt) {
  return XXH64(Prompt.data(), Prompt.size(), 0);
}

std::string chunkText(std::uint64_t Index, std::uint64_t PromptHash) {
  return fmt::format("w{}:{:x} ", Index, PromptHash);
}

} // namespace banyanpick::standins
