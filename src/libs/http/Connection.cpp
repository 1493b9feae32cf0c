#include "http/Connection.h"

#include "http/SocketOptions.h"

#include <array>
#include <boost/beast/ssl.hpp>
#include <type_traits>

namespace banyanpick {

namespace {

using PlainStream = beast::tcp_stream;
using TlsStream = beast::ssl_stream<beast::tcp_stream>;

/// Maximum size of the read that waits for a request.
constexpr std::size_t FirstReadBytes = 2048;

/// Size of the buffer beyond the header, for the start of a body.
constexpr std::size_t BodyReadBytes = 64ULL * 1024;

template <class Stream> class BasicConnection final : public Connection {
public:
  BasicConnection(Stream TransportGiven, std::uint64_t MaxHeaderBytes)
      : Transport(std::move(TransportGiven)),
        Buffer(MaxHeaderBytes + BodyReadBytes) {}

  Task<ErrorCode> handshake(Duration Timeout) override {
    ErrorCode Failure;
    if constexpr (std::is_same_v<Stream, TlsStream>) {
      this->expireAfter(Timeout);
      co_await this->Transport.async_handshake(net::ssl::stream_base::server,
                                               into(Failure));
    }
    co_return Failure;
  }

  Task<ErrorCode> waitForRequest(Duration Timeout) override {
    ErrorCode Failure;
    if (this->Buffer.size() != 0)
      co_return Failure;
    this->Buffer.shrink_to_fit();
    this->expireAfter(Timeout);
    const std::size_t Count = co_await this->Transport.async_read_some(
        this->Buffer.prepare(FirstReadBytes), into(Failure));
    this->Buffer.commit(Count);
    co_return Failure;
  }

  Task<ErrorCode> readHeader(Parser &RequestParser, Duration Timeout) override {
    this->expireAfter(Timeout);
    ErrorCode Failure;
    co_await http::async_read_header(this->Transport, this->Buffer,
                                     RequestParser, into(Failure));
    co_return Failure;
  }

  Task<ErrorCode> readBody(Parser &RequestParser, Duration Timeout) override {
    this->expireAfter(Timeout);
    ErrorCode Failure;
    co_await http::async_read(this->Transport, this->Buffer, RequestParser,
                              into(Failure));
    if (this->Buffer.size() == 0)
      this->Buffer.shrink_to_fit();
    co_return Failure;
  }

  Task<ErrorCode> writeAnswer(Answer &Message, Duration Timeout) override {
    this->expireAfter(Timeout);
    ErrorCode Failure;
    co_await http::async_write(this->Transport, Message, into(Failure));
    co_return Failure;
  }

  Task<ErrorCode> writeHeader(Header &Message, Duration Timeout) override {
    this->expireAfter(Timeout);
    ErrorCode Failure;
    http::response_serializer<http::empty_body> Serializer(Message);
    co_await http::async_write_header(this->Transport, Serializer,
                                      into(Failure));
    co_return Failure;
  }

  Task<ErrorCode> writeChunk(std::string_view Text, Duration Timeout) override {
    this->expireAfter(Timeout);
    ErrorCode Failure;
    if (Text.empty()) {
      co_await net::async_write(this->Transport, http::make_chunk_last(),
                                into(Failure));
      co_return Failure;
    }
    const net::const_buffer Bytes(Text.data(), Text.size());
    co_await net::async_write(this->Transport, http::make_chunk(Bytes),
                              into(Failure));
    co_return Failure;
  }

  Task<bool> waitForDisconnect() override {
    ErrorCode Failure;
    auto &Socket = this->socket();
    co_await Socket.async_wait(Tcp::socket::wait_read, into(Failure));
    if (Failure)
      co_return Failure != net::error::operation_aborted;
    std::array<char, 1> Byte{};
    const std::size_t Count =
        Socket.receive(net::buffer(Byte), Tcp::socket::message_peek, Failure);
    co_return Failure || Count == 0;
  }

  void stopWatching() override {
    ErrorCode Ignored;
    this->socket().cancel(Ignored);
  }

  Task<void> close(Duration Timeout) override {
    ErrorCode Ignored;
    if constexpr (std::is_same_v<Stream, TlsStream>) {
      this->expireAfter(Timeout);
      co_await this->Transport.async_shutdown(into(Ignored));
    }
    this->socket().shutdown(Tcp::socket::shutdown_both, Ignored);
    this->socket().close(Ignored);
    co_return;
  }

  void abort() override {
    ErrorCode Ignored;
    this->socket().set_option(net::socket_base::linger(true, 0), Ignored);
    this->socket().close(Ignored);
  }

  net::any_io_executor executor() override {
    return this->Transport.get_executor();
  }

private:
  void expireAfter(Duration Timeout) {
    beast::get_lowest_layer(this->Transport).expires_after(Timeout);
  }
  Tcp::socket &socket() {
    return beast::get_lowest_layer(this->Transport).socket();
  }

  Stream Transport;
  beast::flat_buffer Buffer;
};

} // namespace

std::shared_ptr<Connection> makeConnection(Tcp::socket Socket,
                                           net::ssl::context *Tls,
                                           std::uint64_t MaxHeaderBytes) {
  tuneCallerConnection(Socket);
  PlainStream Plain(std::move(Socket));
  if (!Tls)
    return std::make_shared<BasicConnection<PlainStream>>(std::move(Plain),
                                                          MaxHeaderBytes);
  return std::make_shared<BasicConnection<TlsStream>>(
      TlsStream(std::move(Plain), *Tls), MaxHeaderBytes);
}

} // namespace banyanpick
