/// \file
/// Messages between entry hosts: ZeroMQ ROUTER and DEALER with CURVE.
#pragma once

#include "kernel/Action.h"
#include "peers/PeerLinks.h"
#include "peers/PeerSettings.h"
#include "peers/ZapAuthenticator.h"

#include <functional>
#include <mutex>
#include <thread>

namespace banyanpick {

/// Everything may be lost: what can't be sent at once is dropped. All sockets
/// live on a thread of their own; the public members are safe from any.
class PeerNetwork {
public:
  /// Called on the network's thread.
  struct Listener {
    std::function<void(PeerMessage)> OnMessage;
    std::function<void(std::string_view Why)> OnMalformed;
  };

  /// Throws Error(Unavailable) when it can't listen.
  PeerNetwork(HostId Self, Incarnation Life, const Address &Listen,
              PeerSettings Values, Listener Callbacks);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork &) = delete;
  PeerNetwork &operator=(const PeerNetwork &) = delete;

  /// The peers that exist from now on; others are disconnected. Connects to a
  /// peer when something is sent to it.
  void connect(std::vector<HostListing> Peers);
  void send(const HostId &To, PeerMessageBody Body);

  /// The port it got; for tests that listen at port 0.
  std::uint16_t port() const;

private:
  struct Outgoing {
    HostId To;
    std::string Bytes;
  };

  void bind(const Address &Listen);
  void run();
  /// Waits for something to do, and does it.
  void pollOnce();
  void processCommands();
  void receiveAll();
  void handlePayload(zmq::message_t &Payload);
  /// Until the links want attention.
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

  std::mutex Mutex; ///< Of the members below.
  std::vector<Outgoing> OutgoingMessages;
  std::size_t OutgoingBytes = 0;
  std::optional<std::vector<HostListing>> NewPeers;
  bool Stopping = false;

  std::thread Thread; ///< Last, so that it sees all the others.
};

} // namespace banyanpick
