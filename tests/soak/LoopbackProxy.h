/// \file
/// A TCP proxy on loopback that injects network faults.
#pragma once

#include "base/Time.h"

// Included before Asio's coroutines, which use std::exchange without including
// its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace banyanpick::soak {

/// Data passes unchanged.
struct HealthyLink {};
/// Each chunk of data is delayed, in both directions.
struct DelayedLink {
  Duration Delay{};
};
/// Open connections are reset, and new ones as soon as they are accepted.
struct ResettingLink {};
/// No data passes in the given directions until the fault ends.
struct SilentLink {
  bool ToServer = false;
  bool ToClient = false;
};

using LinkFault =
    std::variant<HealthyLink, DelayedLink, ResettingLink, SilentLink>;

/// Forwards all connections to one target, on its own thread.
class LoopbackProxy {
public:
  /// Both addresses have the form `ip:port`.
  LoopbackProxy(const std::string &Listen, const std::string &Target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy &) = delete;
  LoopbackProxy &operator=(const LoopbackProxy &) = delete;

  /// Sets the fault, also for open connections. Thread-safe.
  void setFault(const LinkFault &Fault);
  const std::string &address() const { return this->Address; }

private:
  using Socket = boost::asio::ip::tcp::socket;

  /// The two ends of one connection.
  struct Connection {
    Socket Client;
    Socket Server;

    void close();
    void reset();
  };

  boost::asio::awaitable<void> acceptAll();
  boost::asio::awaitable<void> connect(std::shared_ptr<Connection> Accepted);
  boost::asio::awaitable<void> forward(std::shared_ptr<Connection> Accepted,
                                       bool ToServer);
  boost::asio::awaitable<void> applyFault(bool ToServer);

  std::string Address;
  boost::asio::io_context Io{1};
  boost::asio::ip::tcp::endpoint Target;
  boost::asio::ip::tcp::acceptor Acceptor;
  LinkFault CurrentFault;
  std::vector<std::weak_ptr<Connection>> Connections;
  std::thread Thread;
};

} // namespace banyanpick::soak
