/// \file
/// Estimates of engine time from the declared engine parameters.
#pragma once

#include "gateway/Configuration.h"

namespace banyanpick {

/// Returns the milliseconds to prefill a prompt of \p Tokens tokens alone. The
/// cost has a term for each token and one for each pair of a token and an
/// earlier one.
double prefillMs(const EngineParameters &Model, std::uint64_t Tokens);

/// Returns the milliseconds of one decode pass over \p Decoding requests,
/// without prefill.
double decodePassMs(const EngineParameters &Model, std::uint32_t Decoding,
                    std::uint64_t ContextTokens);

/// Returns the value of an answer, as the milliseconds that an engine needs to
/// prefill as many tokens: those of the prompt, and a multiple of those of the
/// answer. Operators declare no value. Engine time itself would rate the
/// longest prompts too high, as it grows with the square of their tokens: one
/// of them could delay hundreds of short answers.
double valueMs(const EngineParameters &Model, std::uint64_t PromptTokens,
               std::uint64_t OutputTokens);

/// Returns the longest prefill, in milliseconds, that an engine can add to a
/// pass over a full batch without an inter-event gap longer than \p MaxGapMs.
double prefillBudgetMs(const EngineParameters &Model, double MaxGapMs);

/// Returns how long a request waits for a slot on an engine with \p Running
/// requests, assuming that slots become free evenly. Zero where the usual
/// answer length is not declared.
double slotWaitMs(const EngineParameters &Model, std::uint32_t Running);

} // namespace banyanpick
