/// \file
/// Connections to other entry hosts, made when there is something to send.
#pragma once

#include "base/Time.h"
#include "kernel/Action.h"
#include "peers/PeerSettings.h"

#include <deque>
#include <functional>
#include <map>
#include <span>
#include <vector>
#include <zmq.hpp>

namespace banyanpick {

/// One DEALER socket for each peer that this host speaks with. Connecting to
/// every known peer instead cost a host among 295 some 40 MB and most of its
/// processor time, as libzmq keeps pipes and timers for each connection.
/// Not safe for several threads: sockets belong to the thread that uses them.
class PeerLinks {
public:
  /// Told of a peer that cannot be connected to.
  using FailureListener = std::function<void(std::string_view Why)>;

  PeerLinks(zmq::context_t &Context, const PeerSettings &Values, HostId Self,
            FailureListener OnFailure);

  /// The peers that exist from now on; links to others are closed.
  void setPeers(std::span<const HostListing> Peers);
  /// Sends, or keeps the message until the connection stands; drops it where
  /// the peer is unknown or its queue is full.
  void send(const HostId &To, std::string Bytes, Time Now);
  /// Sends what was kept for connections that stand by now, drops what has
  /// become too old, and closes links that were not used lately. Cheap while
  /// nothing waits.
  void maintain(Time Now);

  /// Adds the sockets on which kept messages can be sent once they are ready.
  void addPollItems(std::vector<zmq::pollitem_t> &Items);
  /// When maintain() has something to do, whatever the sockets say.
  Time nextMaintenance() const { return this->NextMaintenance; }
  std::size_t openLinks() const { return this->Links.size(); }

private:
  struct QueuedMessage {
    std::string Bytes;
    Time QueuedAt{};
  };
  struct Link {
    Address Destination;
    zmq::socket_t Socket;
    std::deque<QueuedMessage> Queue; ///< For the connection; the oldest first.
    Time LastUsed{};
  };

  Link *linkTo(const HostId &To, Time Now);
  static void sendQueued(Link &Connection, Time Now);
  void scheduleMaintenance();
  zmq::socket_t makeSocket(const HostId &To, const Address &Destination);
  void setCurveKeys(const HostId &To, zmq::socket_t &Socket) const;

  zmq::context_t &Context;
  const PeerSettings &Values;
  HostId Self;
  FailureListener OnFailure;
  std::map<HostId, Address> Addresses; ///< Of all peers.
  std::map<HostId, Link> Links;
  bool HasQueuedMessages = false; ///< Some link has messages that wait.
  Time NextMaintenance = Never;
};

/// The address as ZeroMQ writes it.
std::string endpointText(const Address &Destination);

} // namespace banyanpick
