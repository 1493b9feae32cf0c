/// \file
/// Decides which heads of HTTP answers are valid. Servers may send anything,
/// and Beast's parser accepts more than the protocol allows.
#pragma once

#include "http/Asio.h"

namespace banyanpick {

/// Returns whether another answer to the same request follows (RFC 9110, 15.2).
/// Nobody asks to switch protocols, so no answer with status 101 is expected.
bool isInterimStatus(unsigned Status);

/// Returns whether an answer that is not interim may have this status (RFC
/// 9110, 15).
bool isFinalStatus(unsigned Status);

/// Returns whether one of the complete header lines in \p Lines continues on
/// the next one (RFC 9112, 5.2). A receiver that does not join them, or joins
/// them in another way, finds other headers in the answer.
bool hasFoldedLine(std::string_view Lines);

/// Checks the head of the last answer to a request. Returns bad_status if the
/// status is not final, bad_transfer_encoding if the body has a coding that
/// cannot be removed, and no error otherwise. No request asks for a coding, so
/// chunks are the only one.
ErrorCode checkFinalHead(const http::response_header<> &Head);

} // namespace banyanpick
