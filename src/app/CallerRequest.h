/// \file
/// What callers send, out of HTTP and JSON.
#pragma once

#include "http/HttpExchange.h"
#include "kernel/Request.h"

namespace banyanpick {

/// The content of a request, kept until its final answer is known so that it
/// can be sent again.
struct RequestContent {
  enum class Kind { Completion, Call } Type = Kind::Completion;
  std::string Text; ///< The prompt, or the JSON text of a call's body.
  std::string OperationKey;
};

struct CallerRequest {
  RequestHead Head; ///< Its Id is not set.
  RequestContent Content;
};

/// `TEAM.SECRET` out of the Authorization header; empty when there is none.
std::string bearerKey(const HttpExchange &Exchange);

/// Throw Error(BadInput) when the body is not as docs/PROTOCOLS.md says.
CallerRequest completionFrom(const HttpExchange &Exchange);
CallerRequest callFrom(const HttpExchange &Exchange);

} // namespace banyanpick
