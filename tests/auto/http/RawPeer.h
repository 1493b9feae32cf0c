/// \file
/// A TCP client that sends raw bytes, for tests.
#pragma once

#include "http/Asio.h"
#include "kernel/Upstream.h"

#include <array>
#include <optional>
#include <string>

namespace banyanpick {

/// A blocking connection.
class RawPeer {
public:
  /// Without \p ReceiveBuffer, in bytes, the system chooses its size.
  explicit RawPeer(const Address &At,
                   std::optional<int> ReceiveBuffer = std::nullopt)
      : Socket(this->Io, Tcp::v4()) {
    if (ReceiveBuffer)
      this->Socket.set_option(
          net::socket_base::receive_buffer_size(*ReceiveBuffer));
    this->Socket.connect({net::ip::make_address(At.Ip), At.Port});
  }

  /// Returns false if the server has closed the connection.
  bool send(std::string_view Bytes) {
    ErrorCode Failure;
    net::write(this->Socket, net::buffer(Bytes.data(), Bytes.size()), Failure);
    return !Failure;
  }
  void finish() {
    ErrorCode Ignored;
    this->Socket.shutdown(Tcp::socket::shutdown_send, Ignored);
  }

  /// Waits for data and returns it. Returns an empty string if the server has
  /// closed the connection.
  std::string readSome() {
    std::array<char, 4096> Part{};
    ErrorCode Failure;
    const std::size_t Count =
        this->Socket.read_some(net::buffer(Part), Failure);
    return std::string(Part.data(), Count);
  }

  /// Returns all data until the server closes the connection.
  std::string readAll() {
    std::string Result;
    for (std::string Part = this->readSome(); !Part.empty();
         Part = this->readSome())
      Result += Part;
    return Result;
  }

private:
  net::io_context Io;
  Tcp::socket Socket;
};

} // namespace banyanpick
