/// \file
/// How large a prompt is, in the coarse steps by which work is kept apart.
#pragma once

#include <cstdint>
#include <string_view>

namespace banyanpick {

/// Sizes of prompts that are kept apart from each other at the engines.
enum class PromptSize { None, Short, Middle, Long };

/// Prompts up to so many tokens are read in a few passes (some 0.2 s at
/// 154,000 tokens a second), so they hardly hold each other up.
inline constexpr std::uint64_t ShortPromptTokens = 24'000;
/// Prompts above so many tokens keep an engine for seconds.
inline constexpr std::uint64_t LongPromptTokens = 110'000;

/// The size of a prompt of so many tokens; None for requests without one.
PromptSize promptSize(std::uint64_t Tokens);

/// Whether answers to such prompts may pause only briefly.
inline bool isSwift(PromptSize Size) {
  return Size == PromptSize::Short || Size == PromptSize::Middle;
}

/// The size's name in logs and metrics.
std::string_view name(PromptSize Size);

} // namespace banyanpick
