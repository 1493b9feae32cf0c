/// \file
/// How long an engine works on a prompt, by its declared parameters.
#pragma once

#include "gateway/Configuration.h"

namespace banyanpick {

/// Milliseconds to read a prompt of so many tokens alone: each token, and each
/// pair of a token and an earlier one.
double readMs(const EngineParameters &Of, std::uint64_t Tokens);

/// Milliseconds that one pass over \p Writers requests takes, without reading.
double writePassMs(const EngineParameters &Of, std::uint32_t Writers,
                   std::uint64_t ContextTokens);

/// What an answer is worth, in milliseconds of an engine: the time that it
/// takes of one. Operators declare no worth; those who ask for more pay more.
double valueMs(const EngineParameters &Of, std::uint64_t PromptTokens,
               std::uint64_t OutputTokens);

/// The longest time to read a prompt, in milliseconds, that one engine takes in
/// a pass beside a full batch without making an answer pause for longer than
/// \p PauseMs.
double roomMs(const EngineParameters &Of, double PauseMs);

/// How long a request waits for a place in the batch of an engine where so many
/// run already, as places become free evenly; zero where the usual answer is
/// not declared.
double placeWaitMs(const EngineParameters &Of, std::uint32_t Running);

} // namespace banyanpick
