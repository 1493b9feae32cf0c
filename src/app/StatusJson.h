/// \file
/// Answers to operators as HTTP answers.
#pragma once

#include "http/HttpExchange.h"
#include "kernel/Operator.h"

namespace banyanpick {

/// The whole HTTP answer.
HttpAnswer answerTo(const OperatorAnswer &Answer);

} // namespace banyanpick
