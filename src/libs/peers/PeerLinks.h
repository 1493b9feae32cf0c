/// \file
/// Outgoing connections to other entry hosts, established on demand.
#pragma once

#include "base/Time.h"
#include "kernel/Action.h"
#include "peers/PeerSettings.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <vector>
#include <zmq.hpp>

namespace banyanpick {

/// Holds one DEALER socket for each peer to which this host sends messages.
/// Connecting to all known peers instead cost each of 295 hosts about 40 MB and
/// most of its processor time, because libzmq keeps pipes and timers for each
/// connection. Not thread-safe: the sockets belong to the thread that uses
/// them.
class PeerLinks {
public:
  /// Called with the reason when a peer can't be connected to.
  using FailureListener = std::function<void(std::string_view Why)>;

  PeerLinks(zmq::context_t &Context, const PeerSettings &Values, HostId Self,
            FailureListener OnFailure);

  /// Replaces the list of peers. Closes links to hosts that are not in the list
  /// or whose address changed.
  void setPeers(std::span<const HostListing> Peers);
  /// Adds peers, or changes their addresses. Closes links to old addresses.
  void addPeers(std::span<const HostListing> Peers);
  /// Sends the message, or queues it until the connection is established. Drops
  /// the message when the peer is unknown, and the oldest queued message when
  /// the queue is full.
  void send(const HostId &To, std::string Bytes, Time Now);
  /// Sends queued messages over connections established in the meantime, drops
  /// expired messages and closes idle links. Cheap while no messages are
  /// queued.
  void maintain(Time Now);

  /// Adds the sockets with queued messages, to be polled for writability.
  void addPollItems(std::vector<zmq::pollitem_t> &Items);
  /// Returns when maintain() is due regardless of socket events.
  Time nextMaintenance() const;
  std::size_t openLinks() const { return this->Links.size(); }

private:
  struct QueuedMessage {
    std::string Bytes;
    Time QueuedAt{};
  };
  struct Link {
    Address Destination;
    zmq::socket_t Socket;
    std::deque<QueuedMessage> Queue; ///< Until connected; oldest first.
    Time LastUsed{};
  };

  Link *linkTo(const HostId &To, Time Now);
  static void sendQueued(Link &Connection, Time Now);
  /// Sends the queued messages of all links that have some.
  void sendQueued(Time Now);
  void closeIdleLinks(Time Now);
  zmq::socket_t makeSocket(const HostId &To, const Address &Destination);
  void setCurveKeys(const HostId &To, zmq::socket_t &Socket) const;

  zmq::context_t &Context;
  const PeerSettings &Values;
  HostId Self;
  FailureListener OnFailure;
  std::map<HostId, Address> Addresses; ///< Addresses of all peers.
  std::map<HostId, Link> Links;
  /// The links with queued messages. A host with hundreds of links must not
  /// look at all of them after each event because one peer is down.
  std::set<HostId> QueuedLinks;
  Time NextIdleCheck = Never;
};

/// Returns the address as a ZeroMQ endpoint.
std::string endpointText(const Address &Destination);

} // namespace banyanpick
