/// \file
/// The answer text of the engine stand-in.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace banyanpick::standins {

std::uint64_t hashOfPrompt(std::string_view Prompt);

/// Returns the text of chunk \p Index of the answer to a prompt. It identifies
/// prompt and index, so that a caller can check that it receives its own answer
/// completely and in order.
std::string chunkText(std::uint64_t Index, std::uint64_t PromptHash);

} // namespace banyanpick::standins
