#include "peers/PeerLinks.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Initial and maximum delay before a lost connection is reestablished.
constexpr milliseconds MinReconnectInterval(100);
constexpr milliseconds MaxReconnectInterval(1000);
constexpr milliseconds HandshakeTimeout(2000);

/// A connection is closed when the peer's host doesn't acknowledge data for
/// this long; a new connection may work. Equal to the time without a message
/// after which peers consider a host dead.
constexpr milliseconds SilenceTimeout(2000);

/// A link is closed after this time without a message to send. Longer than the
/// interval at which each heartbeat partner gets a heartbeat, so that links to
/// these partners stay open.
constexpr seconds IdleTimeout(20);

/// Interval at which links are checked for that.
constexpr seconds IdleCheckInterval(5);

/// A message waits this long for its connection to be established. This is a
/// few round trips, and shorter than the validity of any update between hosts.
constexpr milliseconds QueueTimeout(500);

/// Maximum number of messages queued for one connection. Each update between
/// hosts supersedes earlier ones, so the oldest messages are dropped.
constexpr std::size_t MaxQueuedMessages = 16;

int inMilliseconds(milliseconds Value) {
  return static_cast<int>(Value.count());
}

bool trySend(zmq::socket_t &Socket, const std::string &Bytes) {
  return Socket.send(zmq::buffer(Bytes), zmq::send_flags::dontwait).has_value();
}

} // namespace

std::string endpointText(const Address &Destination) {
  const bool IsIpv6 = Destination.Ip.find(':') != std::string::npos;
  const std::string Ip = IsIpv6 ? "[" + Destination.Ip + "]" : Destination.Ip;
  return "tcp://" + Ip + ":" + std::to_string(Destination.Port);
}

PeerLinks::PeerLinks(zmq::context_t &Context, const PeerSettings &Values,
                     HostId SelfId, FailureListener FailureCallback)
    : Context(Context), Values(Values), Self(std::move(SelfId)),
      OnFailure(std::move(FailureCallback)) {}

void PeerLinks::setPeers(std::span<const HostListing> Peers) {
  this->Addresses.clear();
  for (const HostListing &Peer : Peers)
    if (Peer.Id != this->Self)
      this->Addresses[Peer.Id] = Peer.Peers;
  std::erase_if(this->Links, [&](const auto &Entry) {
    const auto Found = this->Addresses.find(Entry.first);
    return Found == this->Addresses.end() ||
           Found->second != Entry.second.Destination;
  });
}

void PeerLinks::addPeers(std::span<const HostListing> Peers) {
  for (const HostListing &Peer : Peers) {
    if (Peer.Id == this->Self)
      continue;
    this->Addresses[Peer.Id] = Peer.Peers;
    const auto Open = this->Links.find(Peer.Id);
    if (Open != this->Links.end() && Open->second.Destination != Peer.Peers)
      this->Links.erase(Open);
  }
}

void PeerLinks::send(const HostId &To, std::string Bytes, Time Now) {
  Link *Connection = this->linkTo(To, Now);
  if (!Connection)
    return;
  Connection->LastUsed = Now;
  sendQueued(*Connection, Now);
  if (Connection->Queue.empty() && trySend(Connection->Socket, Bytes))
    return;
  if (Connection->Queue.size() == MaxQueuedMessages)
    Connection->Queue.pop_front();
  Connection->Queue.push_back({std::move(Bytes), Now});
  this->QueuedLinks.insert(To);
}

void PeerLinks::maintain(Time Now) {
  this->sendQueued(Now);
  if (Now >= this->NextIdleCheck)
    this->closeIdleLinks(Now);
}

void PeerLinks::sendQueued(Time Now) {
  std::erase_if(this->QueuedLinks, [&](const HostId &Host) {
    const auto Found = this->Links.find(Host);
    if (Found == this->Links.end())
      return true;
    sendQueued(Found->second, Now);
    return Found->second.Queue.empty();
  });
}

void PeerLinks::closeIdleLinks(Time Now) {
  std::erase_if(this->Links, [&](const auto &Entry) {
    return Now >= Entry.second.LastUsed + IdleTimeout;
  });
  this->NextIdleCheck =
      this->Links.empty() ? Never : Now + Duration(IdleCheckInterval);
}

Time PeerLinks::nextMaintenance() const {
  Time Result = this->NextIdleCheck;
  for (const HostId &Host : this->QueuedLinks) {
    const auto Found = this->Links.find(Host);
    if (Found != this->Links.end() && !Found->second.Queue.empty())
      Result =
          std::min(Result, Found->second.Queue.front().QueuedAt + QueueTimeout);
  }
  return Result;
}

void PeerLinks::addPollItems(std::vector<zmq::pollitem_t> &Items) {
  for (const HostId &Host : this->QueuedLinks) {
    const auto Found = this->Links.find(Host);
    if (Found != this->Links.end())
      Items.push_back({Found->second.Socket.handle(), 0, ZMQ_POLLOUT, 0});
  }
}

PeerLinks::Link *PeerLinks::linkTo(const HostId &To, Time Now) {
  const auto Found = this->Links.find(To);
  if (Found != this->Links.end())
    return &Found->second;
  const auto FoundAddress = this->Addresses.find(To);
  if (FoundAddress == this->Addresses.end())
    return nullptr;
  try {
    Link NewLink{FoundAddress->second,
                 this->makeSocket(To, FoundAddress->second),
                 {},
                 Now};
    if (this->NextIdleCheck == Never)
      this->NextIdleCheck = Now + Duration(IdleCheckInterval);
    return &this->Links.emplace(To, std::move(NewLink)).first->second;
  } catch (const zmq::error_t &Failure) {
    // The host list may contain an address that ZeroMQ can't connect to.
    this->OnFailure("peer " + To.Value + ": " + Failure.what());
    this->Addresses.erase(FoundAddress);
    return nullptr;
  }
}

void PeerLinks::sendQueued(Link &Connection, Time Now) {
  while (!Connection.Queue.empty()) {
    const QueuedMessage &Next = Connection.Queue.front();
    if (Now < Next.QueuedAt + QueueTimeout &&
        !trySend(Connection.Socket, Next.Bytes))
      return;
    Connection.Queue.pop_front();
  }
}

void PeerLinks::setCurveKeys(const HostId &To, zmq::socket_t &Socket) const {
  const std::string ServerKey =
      this->Values.Allowed.keyOf(To).value_or(this->Values.OwnKeys.PublicKey);
  Socket.set(zmq::sockopt::curve_serverkey, ServerKey);
  Socket.set(zmq::sockopt::curve_publickey, this->Values.OwnKeys.PublicKey);
  Socket.set(zmq::sockopt::curve_secretkey, this->Values.OwnKeys.SecretKey);
}

zmq::socket_t PeerLinks::makeSocket(const HostId &To,
                                    const Address &Destination) {
  zmq::socket_t Socket(this->Context, zmq::socket_type::dealer);
  if (this->Values.Encrypted)
    this->setCurveKeys(To, Socket);
  Socket.set(zmq::sockopt::linger, 0);
  Socket.set(zmq::sockopt::immediate, true);
  Socket.set(zmq::sockopt::sndhwm,
             static_cast<int>(this->Values.QueueMessages));
  Socket.set(zmq::sockopt::reconnect_ivl, inMilliseconds(MinReconnectInterval));
  Socket.set(zmq::sockopt::reconnect_ivl_max,
             inMilliseconds(MaxReconnectInterval));
  Socket.set(zmq::sockopt::handshake_ivl, inMilliseconds(HandshakeTimeout));
  Socket.set(zmq::sockopt::tcp_maxrt, inMilliseconds(SilenceTimeout));
  Socket.set(zmq::sockopt::ipv6, Destination.Ip.find(':') != std::string::npos);
  Socket.connect(endpointText(Destination));
  return Socket;
}

} // namespace banyanpick
