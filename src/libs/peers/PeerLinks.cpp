#include "peers/PeerLinks.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// How soon a lost connection is tried again, at first and at most.
constexpr milliseconds MinReconnectInterval(100);
constexpr milliseconds MaxReconnectInterval(1000);
constexpr milliseconds HandshakeTimeout(2000);

/// Data that the peer's host does not acknowledge for so long ends the
/// connection: it went silent, and a new one may work. As long as peers wait
/// before they take a host for dead.
constexpr milliseconds SilenceTimeout(2000);

/// A link without a message for so long is closed. Longer than the interval in
/// which each partner of the heartbeats gets one, so that these stay open.
constexpr seconds IdleTimeout(20);

/// How long a message is kept for a connection that does not stand yet: a few
/// round trips, and shorter than any news between hosts counts.
constexpr milliseconds QueueTimeout(500);

/// Messages kept for one connection; what hosts tell each other replaces what
/// they told before, so the newest matter.
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
  for (const HostListing &Each : Peers)
    if (Each.Id != this->Self)
      this->Addresses[Each.Id] = Each.Peers;
  std::erase_if(this->Links, [&](const auto &Each) {
    const auto Found = this->Addresses.find(Each.first);
    return Found == this->Addresses.end() ||
           Found->second != Each.second.Destination;
  });
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
  this->HasQueuedMessages = true;
  this->NextMaintenance = std::min(this->NextMaintenance, Now + QueueTimeout);
}

void PeerLinks::maintain(Time Now) {
  if (!this->HasQueuedMessages && Now < this->NextMaintenance)
    return;
  for (auto &[Host, Each] : this->Links)
    sendQueued(Each, Now);
  std::erase_if(this->Links, [&](const auto &Each) {
    return Now >= Each.second.LastUsed + IdleTimeout;
  });
  this->scheduleMaintenance();
}

void PeerLinks::scheduleMaintenance() {
  this->HasQueuedMessages = false;
  this->NextMaintenance = Never;
  for (const auto &[Host, Each] : this->Links) {
    Time Due = Each.LastUsed + IdleTimeout;
    if (!Each.Queue.empty()) {
      this->HasQueuedMessages = true;
      Due = std::min(Due, Each.Queue.front().QueuedAt + QueueTimeout);
    }
    this->NextMaintenance = std::min(this->NextMaintenance, Due);
  }
}

void PeerLinks::addPollItems(std::vector<zmq::pollitem_t> &Items) {
  if (!this->HasQueuedMessages)
    return;
  for (auto &[Host, Each] : this->Links)
    if (!Each.Queue.empty())
      Items.push_back({Each.Socket.handle(), 0, ZMQ_POLLOUT, 0});
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
    this->NextMaintenance = std::min(this->NextMaintenance, Now + IdleTimeout);
    return &this->Links.emplace(To, std::move(NewLink)).first->second;
  } catch (const zmq::error_t &Failure) {
    // The host list may name an address that can't be connected to.
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
