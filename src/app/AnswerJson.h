/// \file
/// Formats final answers for callers.
#pragma once

#include "http/HttpExchange.h"
#include "kernel/Answer.h"

#include <nlohmann/json.hpp>

namespace banyanpick {

/// Returns the members of a final answer, without `text` and `result`.
nlohmann::json toJson(const FinalAnswer &Answer);

/// Returns the complete HTTP answer. \p Text is the text of a completion that
/// was not streamed.
HttpAnswer answerTo(const FinalAnswer &Answer, const std::string *Text);

/// Returns the data field of the event for one chunk.
std::string chunkData(std::uint64_t Index, const std::string &Text);

} // namespace banyanpick
