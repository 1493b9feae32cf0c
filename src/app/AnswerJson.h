/// \file
/// Final answers as callers get them.
#pragma once

#include "http/HttpExchange.h"
#include "kernel/Answer.h"

#include <nlohmann/json.hpp>

namespace banyanpick {

/// The members of a final answer; without `text` and `result`.
nlohmann::json toJson(const FinalAnswer &Answer);

/// The final answer as a whole HTTP answer. \p Text is the text of a
/// completion that was not streamed.
HttpAnswer answerTo(const FinalAnswer &Answer, const std::string *Text);

/// The data of one chunk's event.
std::string chunkData(std::uint64_t Index, const std::string &Text);

} // namespace banyanpick
