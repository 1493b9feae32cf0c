/// \file
/// Formats answers to operators as HTTP answers.
#pragma once

#include "http/HttpExchange.h"
#include "kernel/Operator.h"

namespace banyanpick {

/// Returns the complete HTTP answer.
HttpAnswer answerTo(const OperatorAnswer &Answer);

} // namespace banyanpick
