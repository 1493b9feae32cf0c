/// \file
/// How long an engine works on a prompt, by its declared parameters.
#pragma once

#include "gateway/Configuration.h"

namespace banyanpick {

/// Milliseconds to read a prompt of so many tokens alone: each token, and each
/// pair of a token and an earlier one.
double prefillMs(const EngineParameters &Of, std::uint64_t Tokens);

/// Milliseconds that one pass over \p Writers requests takes, without reading.
double decodePassMs(const EngineParameters &Of, std::uint32_t Writers,
                    std::uint64_t ContextTokens);

/// What an answer is worth, in milliseconds that an engine needs to read as
/// many tokens: those of the prompt, and more for each of the answer. Operators
/// declare no worth. The engine time itself would rate the longest prompts too
/// high, as it grows with the square of their tokens: one of them would hold up
/// hundreds of short answers.
double valueMs(const EngineParameters &Of, std::uint64_t PromptTokens,
               std::uint64_t OutputTokens);

/// The longest time to read a prompt, in milliseconds, that one engine takes in
/// a pass beside a full batch without making an answer pause for longer than
/// \p PauseMs.
double prefillBudgetMs(const EngineParameters &Of, double PauseMs);

/// How long a request waits for a place in the batch of an engine where so many
/// run already, as places become free evenly; zero where the usual answer is
/// not declared.
double slotWaitMs(const EngineParameters &Of, std::uint32_t Running);

} // namespace banyanpick
