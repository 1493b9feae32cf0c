#include "http/AnswerHead.h"

#include <algorithm>

namespace banyanpick {

namespace {

bool hasUnknownCoding(const http::response_header<> &Head) {
  const auto [First, Last] = Head.equal_range(http::field::transfer_encoding);
  return std::any_of(First, Last, [](const auto &Line) {
    return !beast::iequals(Line.value(), "chunked");
  });
}

} // namespace

bool isInterimStatus(unsigned Status) {
  constexpr unsigned FirstInterim = 100;
  constexpr unsigned SwitchingProtocols = 101;
  constexpr unsigned LastInterim = 199;
  return Status >= FirstInterim && Status <= LastInterim &&
         Status != SwitchingProtocols;
}

bool isFinalStatus(unsigned Status) {
  constexpr unsigned FirstFinal = 200;
  constexpr unsigned LastFinal = 599;
  return Status >= FirstFinal && Status <= LastFinal;
}

bool hasFoldedLine(std::string_view Lines) {
  return Lines.find("\r\n ") != std::string_view::npos ||
         Lines.find("\r\n\t") != std::string_view::npos;
}

ErrorCode checkFinalHead(const http::response_header<> &Head) {
  if (!isFinalStatus(Head.result_int()))
    return http::make_error_code(http::error::bad_status);
  if (hasUnknownCoding(Head))
    return http::make_error_code(http::error::bad_transfer_encoding);
  return {};
}

} // namespace banyanpick
