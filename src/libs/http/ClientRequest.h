/// \file
/// What the HTTP client sends and gets.
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

/// Why there is no answer.
enum class ClientFailure {
  ConnectionRefused, ///< The connection was refused; no byte was sent.
  NotConnected,      ///< No connection in time; no byte was sent.
  Reset,             ///< The peer reset the connection after bytes were sent.
  Lost,              ///< Ended, malformed or too late after bytes were sent.
};

/// Whether no byte was handed to a transport.
inline bool wasNotSent(ClientFailure Failure) {
  return Failure == ClientFailure::ConnectionRefused ||
         Failure == ClientFailure::NotConnected;
}

/// The failure after bytes were sent that an error code stands for.
inline ClientFailure failureAfterSending(const ErrorCode &Code) {
  const bool WasReset =
      Code == net::error::connection_reset || Code == net::error::broken_pipe;
  return WasReset ? ClientFailure::Reset : ClientFailure::Lost;
}

/// The failure of a connect that an error code stands for.
inline ClientFailure failureOfConnect(const ErrorCode &Code) {
  return Code == net::error::connection_refused
             ? ClientFailure::ConnectionRefused
             : ClientFailure::NotConnected;
}

/// The request as Beast sends it.
http::request<http::string_body> beastRequest(ClientRequest ClientReq,
                                              const std::string &Host);

} // namespace banyanpick
