/// \file
/// Hashes of what callers send, by xxhash64.
#pragma once

#include "kernel/Request.h"

#include <string_view>
#include <vector>

namespace banyanpick {

/// Tokens are estimated as one for each so many bytes.
inline constexpr std::uint64_t BytesPerToken = 4;

std::uint64_t estimateTokens(std::string_view Text);

/// One hash for each full block of PromptBlockTokens, chained over those
/// before it. Engines name cached blocks the same way.
std::vector<BlockHash> promptBlocks(std::string_view Prompt);

/// Equal for equal class and content.
Fingerprint contentFingerprint(const ClassId &Class, std::string_view Content);

} // namespace banyanpick
