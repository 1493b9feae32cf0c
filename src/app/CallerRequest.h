/// \file
/// Parses the requests of callers from HTTP and JSON.
#pragma once

#include "http/HttpExchange.h"
#include "kernel/Request.h"

namespace banyanpick {

/// The content of a request. It is kept until the final answer is known, so
/// that a further attempt can send it again.
struct RequestContent {
  enum class Kind { Completion, Call } Type = Kind::Completion;
  std::string Text; ///< The prompt, or the JSON text of a call's body.
  std::string OperationKey;
};

struct CallerRequest {
  RequestHead Head; ///< Without Id.
  RequestContent Content;
};

/// Returns `TEAM.SECRET` from the Authorization header, or an empty string.
std::string bearerKey(const HttpExchange &Exchange);

/// Throw Error(BadInput) when the body does not conform to docs/PROTOCOLS.md.
CallerRequest completionFrom(const HttpExchange &Exchange);
CallerRequest callFrom(const HttpExchange &Exchange);

} // namespace banyanpick
