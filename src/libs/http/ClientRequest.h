/// \file
/// Requests, answers and failures of the HTTP client.
#pragma once

#include "http/Asio.h"

#include <string>
#include <utility>
#include <vector>

namespace banyanpick {

struct ClientRequest {
  http::verb Method = http::verb::get;
  std::string Target;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
};

struct ClientAnswer {
  unsigned Status = 0;
  std::string Body;
  http::response_header<> Head;
};

/// The reason why a call has no answer.
enum class ClientFailure {
  ConnectionRefused, ///< The connection was refused; no byte was sent.
  NotConnected,      ///< No connection within the timeout; no byte was sent.
  Reset,             ///< The peer reset the connection after bytes were sent.
  Lost,              ///< Closed, malformed or timed out after bytes were sent.
};

/// Returns whether it is certain that no byte was passed to a transport.
inline bool wasNotSent(ClientFailure Failure) {
  return Failure == ClientFailure::ConnectionRefused ||
         Failure == ClientFailure::NotConnected;
}

/// Converts the error code of an operation that failed after bytes were sent.
inline ClientFailure failureAfterSending(const ErrorCode &Code) {
  const bool WasReset =
      Code == net::error::connection_reset || Code == net::error::broken_pipe;
  return WasReset ? ClientFailure::Reset : ClientFailure::Lost;
}

/// Converts the error code of a failed connection attempt.
inline ClientFailure failureOfConnect(const ErrorCode &Code) {
  return Code == net::error::connection_refused
             ? ClientFailure::ConnectionRefused
             : ClientFailure::NotConnected;
}

/// Converts the request to the type that Beast sends.
http::request<http::string_body> beastRequest(ClientRequest ClientReq,
                                              const std::string &Host);

} // namespace banyanpick
