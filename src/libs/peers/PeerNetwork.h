/// \file
/// Sends and receives messages between entry hosts over ZeroMQ ROUTER and
/// DEALER sockets with CURVE.
#pragma once

#include "kernel/Action.h"
#include "peers/PeerLinks.h"
#include "peers/PeerSettings.h"
#include "peers/ZapAuthenticator.h"

#include <functional>
#include <mutex>
#include <thread>

namespace banyanpick {

/// Delivers messages between entry hosts without a guarantee: messages that
/// can't be sent are dropped after a short time. All sockets belong to an
/// internal thread; the public functions are thread-safe.
class PeerNetwork {
public:
  /// Callbacks, called on the internal thread.
  struct Listener {
    /// \p Bytes is the size of the message as it was received.
    std::function<void(PeerMessage, std::size_t Bytes)> OnMessage;
    std::function<void(std::string_view Why)> OnMalformed;
  };

  /// Throws Error(Unavailable) when it can't listen on the address.
  PeerNetwork(HostId Self, Incarnation Life, const Address &Listen,
              PeerSettings Values, Listener Callbacks);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork &) = delete;
  PeerNetwork &operator=(const PeerNetwork &) = delete;

  /// Replaces the list of peers and closes connections to hosts not in the
  /// list, or adds to the list. Connects to a peer when a message is sent to
  /// it.
  void connect(ConnectPeers Wanted);
  void send(const HostId &To, PeerMessageBody Body);
  /// Returns the size of the messages that wait for the internal thread.
  std::size_t outgoingBytes();

  /// Returns the bound port, for tests that listen on port 0.
  std::uint16_t port() const;

private:
  struct Outgoing {
    HostId To;
    std::string Bytes;
  };

  void bind(const Address &Listen);
  void run();
  /// Waits for socket events, commands or maintenance and handles them.
  void pollOnce();
  void processCommands();
  void receiveAll();
  void handlePayload(zmq::message_t &Payload);
  /// Returns the time until the links need maintenance, or -1 for none.
  milliseconds pollTimeout() const;
  void wake();

  const HostId Self;
  const Incarnation Life;
  const PeerSettings Values;
  const Listener Callbacks;
  zmq::context_t Context;
  ZapAuthenticator Authenticator;
  zmq::socket_t Router;
  PeerLinks Links;
  int WakeDescriptor = -1;

  std::mutex Mutex; ///< Protects the members up to Stopping.
  std::vector<Outgoing> OutgoingMessages;
  std::size_t OutgoingBytes = 0;
  std::vector<ConnectPeers> NewPeers; ///< In order.
  bool Stopping = false;

  std::thread Thread; ///< Last, since it uses all other members.
};

} // namespace banyanpick
