/// \file
/// One accepted connection, plain or with TLS.
#pragma once

#include "base/Time.h"
#include "http/Asio.h"

#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <string_view>

namespace banyanpick {

/// Every operation ends within the timeout given. Used on the thread of the
/// connection's executor only.
class Connection {
public:
  using Parser = http::request_parser<http::string_body>;
  using Answer = http::response<http::string_body>;
  using Header = http::response<http::empty_body>;

  virtual ~Connection() = default;

  /// The TLS handshake; nothing for a plain connection.
  virtual Task<ErrorCode> handshake(Duration Timeout) = 0;
  /// Waits for the first byte of a request.
  virtual Task<ErrorCode> waitForRequest(Duration Timeout) = 0;
  virtual Task<ErrorCode> readHeader(Parser &RequestParser,
                                     Duration Timeout) = 0;
  virtual Task<ErrorCode> readBody(Parser &RequestParser, Duration Timeout) = 0;
  virtual Task<ErrorCode> writeAnswer(Answer &Message, Duration Timeout) = 0;
  /// Writes the header of an answer in chunks.
  virtual Task<ErrorCode> writeHeader(Header &Message, Duration Timeout) = 0;
  /// Writes one chunk; an empty one ends the answer.
  virtual Task<ErrorCode> writeChunk(std::string_view Text,
                                     Duration Timeout) = 0;
  /// Whether the peer hung up; waits until it does or stopWatching().
  virtual Task<bool> waitForDisconnect() = 0;
  /// Only while no other operation is running.
  virtual void stopWatching() = 0;
  virtual Task<void> close(Duration Timeout) = 0;
  /// Resets the connection at once; running operations fail.
  virtual void abort() = 0;
  virtual net::any_io_executor executor() = 0;
};

/// \p Tls may be null.
std::shared_ptr<Connection> makeConnection(Tcp::socket Socket,
                                           net::ssl::context *Tls,
                                           std::uint64_t MaxHeaderBytes);

} // namespace banyanpick
