/// \file
/// Size classes of prompts for metrics.
#pragma once

#include <cstdint>
#include <string_view>

namespace banyanpick {

/// The size classes that label metrics. They do not affect decisions: the cost
/// of a prompt follows from the parameters of its engine.
enum class PromptSize { None, Short, Middle, Long };

/// The maximum lengths of short and middle prompts, in tokens.
inline constexpr std::uint64_t ShortPromptTokens = 24'000;
inline constexpr std::uint64_t LongPromptTokens = 110'000;

/// Returns the size class of a prompt, or None for requests without a prompt.
PromptSize promptSize(std::uint64_t Tokens);

/// Returns the size's name in logs and metrics.
std::string_view name(PromptSize Size);

} // namespace banyanpick
