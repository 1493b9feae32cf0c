/// \file
/// The text of the answers that the engine stand-in gives.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace banyanpick::standins {

std::uint64_t hashOfPrompt(std::string_view Prompt);

/// The text of chunk \p Index of the answer to a prompt, so that a caller can
/// tell its own answer, whole and in order.
std::string chunkText(std::uint64_t Index, std::uint64_t PromptHash);

} // namespace banyanpick::standins
