/// \file
/// A TCP server that answers with prepared bytes, for tests.
#pragma once

#include "base/Time.h"
#include "http/Asio.h"
#include "kernel/Upstream.h"

#include <atomic>
#include <boost/asio/read_until.hpp>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace banyanpick {

/// What a server sends after it has received the header of a request.
struct RawAnswer {
  std::string First;
  Duration Pause{}; ///< Between the first bytes and the others.
  std::string Then;
  std::string Endless;     ///< Repeated until the peer closes; empty: not sent.
  Duration PauseBetween{}; ///< Between the repetitions.
  bool Closes = false;     ///< Closes the connection at the end.
  bool Resets = false;     ///< Resets the connection at the end.
};

/// Listens on a loopback port, with one thread for each connection, until it is
/// destroyed. Reads only the header of a request, so a long body stays unread.
class RawServer {
public:
  /// Returns the answer to a request with the header \p Head.
  using Script = std::function<RawAnswer(std::string_view Head)>;

  explicit RawServer(Script AnswerGiven)
      : Answer(std::move(AnswerGiven)),
        Acceptor(this->Io, {net::ip::address_v4::loopback(), 0}),
        Thread([this] { this->acceptAll(); }) {
    // Small, so that a long body cannot be written while it is unread.
    constexpr int ReceiveBytes = 8 * 1024;
    this->Acceptor.set_option(
        net::socket_base::receive_buffer_size(ReceiveBytes));
  }
  explicit RawServer(const RawAnswer &Always)
      : RawServer([Always](std::string_view) { return Always; }) {}
  ~RawServer() {
    this->Stopping = true;
    // Wakes the thread that accepts.
    ErrorCode Ignored;
    Tcp::socket(this->Io).connect(this->Acceptor.local_endpoint(), Ignored);
    this->Thread.join();
    {
      const std::lock_guard Lock(this->Mutex);
      for (Tcp::socket &Peer : this->Peers)
        Peer.shutdown(Tcp::socket::shutdown_both, Ignored);
    }
    for (std::thread &Server : this->Servers)
      Server.join();
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  Address at() const {
    return {"127.0.0.1", this->Acceptor.local_endpoint().port()};
  }

private:
  void acceptAll() {
    while (!this->Stopping) {
      Tcp::socket *Peer = nullptr;
      {
        const std::lock_guard Lock(this->Mutex);
        Peer = &this->Peers.emplace_back(this->Io);
      }
      ErrorCode Failure;
      this->Acceptor.accept(*Peer, Failure);
      if (!Failure && !this->Stopping)
        this->Servers.emplace_back([this, Peer] { this->serve(*Peer); });
    }
  }
  void serve(Tcp::socket &Peer) {
    std::string Received;
    ErrorCode Failure;
    while (!Failure) {
      const std::size_t Length = net::read_until(
          Peer, net::dynamic_buffer(Received), "\r\n\r\n", Failure);
      if (Failure)
        return;
      const RawAnswer Wanted = this->Answer(Received.substr(0, Length));
      Received.clear();
      Failure = send(Peer, Wanted);
      // Does not read on: a long body stays unread.
      if (!Failure && Wanted.Closes) {
        Peer.shutdown(Tcp::socket::shutdown_send, Failure);
        return;
      }
      if (Wanted.Resets) {
        this->reset(Peer);
        return;
      }
    }
  }
  void reset(Tcp::socket &Peer) {
    const std::lock_guard Lock(this->Mutex);
    ErrorCode Ignored;
    Peer.set_option(net::socket_base::linger(true, 0), Ignored);
    Peer.close(Ignored);
  }
  static ErrorCode send(Tcp::socket &Peer, const RawAnswer &Wanted) {
    ErrorCode Failure = write(Peer, Wanted.First);
    std::this_thread::sleep_for(Wanted.Pause);
    if (!Failure)
      Failure = write(Peer, Wanted.Then);
    while (!Failure && !Wanted.Endless.empty()) {
      Failure = write(Peer, Wanted.Endless);
      std::this_thread::sleep_for(Wanted.PauseBetween);
    }
    return Failure;
  }
  static ErrorCode write(Tcp::socket &Peer, const std::string &Bytes) {
    ErrorCode Failure;
    net::write(Peer, net::buffer(Bytes), Failure);
    return Failure;
  }

  Script Answer;
  net::io_context Io;
  Tcp::acceptor Acceptor;
  std::mutex Mutex;
  std::list<Tcp::socket> Peers;
  std::vector<std::thread> Servers;
  std::atomic<bool> Stopping = false;
  std::thread Thread;
};

/// Returns \p Text repeated to a length of some kilobytes, as one write of an
/// endless answer.
inline std::string repeated(std::string_view Text) {
  constexpr std::size_t WriteBytes = 16ULL * 1024;
  std::string Result;
  while (Result.size() < WriteBytes)
    Result += Text;
  return Result;
}

} // namespace banyanpick
