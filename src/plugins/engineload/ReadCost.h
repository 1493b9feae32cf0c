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

} // namespace banyanpick
