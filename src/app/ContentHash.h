/// \file
/// Hashes of the content of requests, computed with xxhash64.
#pragma once

#include "kernel/Request.h"

#include <string_view>
#include <vector>

namespace banyanpick {

/// Bytes per token, for the estimate of token counts.
inline constexpr std::uint64_t BytesPerToken = 4;

std::uint64_t estimateTokens(std::string_view Text);

/// Returns one hash for each full block of PromptBlockTokens. Each hash
/// includes all blocks before it. Engines identify cached blocks in the same
/// way.
std::vector<BlockHash> promptBlocks(std::string_view Prompt);

/// Returns a hash of the class and the content.
Fingerprint contentFingerprint(const ClassId &Class, std::string_view Content);

} // namespace banyanpick
