/// \file
/// Raw bytes over a loopback connection, for tests.
#pragma once

#include "http/Asio.h"
#include "kernel/Upstream.h"

#include <array>
#include <string>

namespace banyanpick {

/// A blocking connection that sends raw bytes.
class RawPeer {
public:
  explicit RawPeer(const Address &At) : Socket(this->Io) {
    this->Socket.connect({net::ip::make_address(At.Ip), At.Port});
  }

  void send(std::string_view Bytes) {
    ErrorCode Ignored;
    net::write(this->Socket, net::buffer(Bytes.data(), Bytes.size()), Ignored);
  }
  void finish() {
    ErrorCode Ignored;
    this->Socket.shutdown(Tcp::socket::shutdown_send, Ignored);
  }

  /// What came, at least one byte; nothing when the server closed.
  std::string readSome() {
    std::array<char, 4096> Part{};
    ErrorCode Failure;
    const std::size_t Count =
        this->Socket.read_some(net::buffer(Part), Failure);
    return std::string(Part.data(), Count);
  }

  /// Everything until the server closes.
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
