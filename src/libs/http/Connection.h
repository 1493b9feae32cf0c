/// \file
/// One accepted connection, with or without TLS.
#pragma once

#include "base/Time.h"
#include "http/Asio.h"

#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <string_view>

namespace banyanpick {

/// Reads requests and writes answers. Every operation with a timeout ends
/// within it. Used on the thread of the connection's executor only.
class Connection {
public:
  using Parser = http::request_parser<http::string_body>;
  using Answer = http::response<http::string_body>;
  using Header = http::response<http::empty_body>;

  virtual ~Connection() = default;

  /// Performs the TLS handshake. Does nothing on a connection without TLS.
  virtual Task<ErrorCode> handshake(Duration Timeout) = 0;
  /// Waits for the first byte of a request.
  virtual Task<ErrorCode> waitForRequest(Duration Timeout) = 0;
  virtual Task<ErrorCode> readHeader(Parser &RequestParser,
                                     Duration Timeout) = 0;
  virtual Task<ErrorCode> readBody(Parser &RequestParser, Duration Timeout) = 0;
  virtual Task<ErrorCode> writeAnswer(Answer &Message, Duration Timeout) = 0;
  /// Writes the header of a chunked answer.
  virtual Task<ErrorCode> writeHeader(Header &Message, Duration Timeout) = 0;
  /// Writes one chunk. An empty chunk ends the answer.
  virtual Task<ErrorCode> writeChunk(std::string_view Text,
                                     Duration Timeout) = 0;
  /// Waits until the peer disconnects or stopWatching() is called. Returns
  /// whether the peer has disconnected.
  virtual Task<bool> waitForDisconnect() = 0;
  /// May be called only while no other operation is running.
  virtual void stopWatching() = 0;
  virtual Task<void> close(Duration Timeout) = 0;
  /// Resets the connection immediately. Running operations fail.
  virtual void abort() = 0;
  virtual net::any_io_executor executor() = 0;
};

/// \p Tls may be null.
std::shared_ptr<Connection> makeConnection(Tcp::socket Socket,
                                           net::ssl::context *Tls,
                                           std::uint64_t MaxHeaderBytes);

} // namespace banyanpick
