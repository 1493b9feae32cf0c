/// \file
/// How large a prompt is, in the coarse steps of metrics.
#pragma once

#include <cstdint>
#include <string_view>

namespace banyanpick {

/// Sizes of prompts by which metrics are told apart. Nothing is decided by
/// them: what a prompt costs follows from its engine's parameters.
enum class PromptSize { None, Short, Middle, Long };

/// The largest short and the largest middle prompt, in tokens.
inline constexpr std::uint64_t ShortPromptTokens = 24'000;
inline constexpr std::uint64_t LongPromptTokens = 110'000;

/// The size of a prompt of so many tokens; None for requests without one.
PromptSize promptSize(std::uint64_t Tokens);

/// The size's name in logs and metrics.
std::string_view name(PromptSize Size);

} // namespace banyanpick
