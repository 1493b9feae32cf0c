#include "peers/PeerNetwork.h"

#include "base/Error.h"
#include "wire/PeerCodec.h"

#include <cerrno>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq_addon.hpp>

namespace banyanpick {

namespace {

constexpr milliseconds HandshakeTimeout(2000);

/// TCP keep-alive for incoming connections. A connection is closed when it is
/// idle for this long and the peer's host doesn't answer the probes, since that
/// host stopped without closing the connection.
constexpr int KeepAliveIdleSeconds = 10;
constexpr int KeepAliveProbeSeconds = 2;
constexpr int KeepAliveProbes = 3;

/// Number of messages received before the other sockets are served.
constexpr int MessagesPerTurn = 256;

/// Limits of the queue that other threads fill; further messages are dropped.
constexpr std::size_t MaxOutgoingMessages = 65536;
constexpr std::size_t MaxOutgoingBytes = 8'000'000;

int inMilliseconds(milliseconds Value) {
  return static_cast<int>(Value.count());
}

Time steadyNow() {
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/// Throws Error(NotAllowed) unless the authenticated key is bound to the sender
/// or valid for any host.
void requireSenderKey(zmq::message_t &Payload, const HostId &From) {
  const char *UserId = Payload.gets("User-Id");
  const std::string_view User = UserId ? UserId : "";
  if (User != AnyHost && User != From.Value)
    throw Error(ErrorKind::NotAllowed,
                "the sender's key belongs to another host",
                "give each host its own key pair");
}

} // namespace

PeerNetwork::PeerNetwork(HostId SelfId, Incarnation OwnIncarnation,
                         const Address &Listen, PeerSettings NewValues,
                         Listener NewCallbacks)
    : Self(std::move(SelfId)), Life(OwnIncarnation),
      Values(std::move(NewValues)), Callbacks(std::move(NewCallbacks)),
      Authenticator(this->Context, this->Values.Allowed,
                    this->Values.Encrypted),
      Router(this->Context, zmq::socket_type::router),
      Links(this->Context, this->Values, this->Self,
            this->Callbacks.OnMalformed),
      WakeDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  this->bind(Listen);
  this->Thread = std::thread([this] { this->run(); });
}

PeerNetwork::~PeerNetwork() {
  {
    const std::lock_guard Lock(this->Mutex);
    this->Stopping = true;
  }
  this->wake();
  this->Thread.join();
  close(this->WakeDescriptor);
}

void PeerNetwork::bind(const Address &Listen) {
  zmq::socket_t &Socket = this->Router;
  Socket.set(zmq::sockopt::linger, 0);
  if (this->Values.Encrypted) {
    Socket.set(zmq::sockopt::curve_server, true);
    Socket.set(zmq::sockopt::curve_secretkey, this->Values.OwnKeys.SecretKey);
  }
  Socket.set(zmq::sockopt::zap_domain, "banyanpick");
  Socket.set(zmq::sockopt::maxmsgsize,
             static_cast<std::int64_t>(this->Values.MaxMessageBytes));
  Socket.set(zmq::sockopt::rcvhwm,
             static_cast<int>(this->Values.QueueMessages));
  Socket.set(zmq::sockopt::handshake_ivl, inMilliseconds(HandshakeTimeout));
  Socket.set(zmq::sockopt::tcp_keepalive, 1);
  Socket.set(zmq::sockopt::tcp_keepalive_idle, KeepAliveIdleSeconds);
  Socket.set(zmq::sockopt::tcp_keepalive_intvl, KeepAliveProbeSeconds);
  Socket.set(zmq::sockopt::tcp_keepalive_cnt, KeepAliveProbes);
  Socket.set(zmq::sockopt::ipv6, Listen.Ip.find(':') != std::string::npos);
  try {
    Socket.bind(endpointText(Listen));
  } catch (const zmq::error_t &Failure) {
    throw Error(ErrorKind::Unavailable,
                "can't listen for peers at " + endpointText(Listen) + ": " +
                    Failure.what(),
                "give another address or end the process that listens there");
  }
}

std::uint16_t PeerNetwork::port() const {
  const std::string Endpoint = this->Router.get(zmq::sockopt::last_endpoint);
  return static_cast<std::uint16_t>(
      std::stoul(Endpoint.substr(Endpoint.rfind(':') + 1)));
}

void PeerNetwork::connect(ConnectPeers Wanted) {
  {
    const std::lock_guard Lock(this->Mutex);
    if (!Wanted.IsUpdate)
      this->NewPeers.clear();
    this->NewPeers.push_back(std::move(Wanted));
  }
  this->wake();
}

void PeerNetwork::send(const HostId &To, PeerMessageBody Body) {
  std::string Bytes =
      encodePeerMessage({this->Self, this->Life, std::move(Body)});
  {
    const std::lock_guard Lock(this->Mutex);
    if (this->OutgoingMessages.size() >= MaxOutgoingMessages ||
        this->OutgoingBytes + Bytes.size() > MaxOutgoingBytes)
      return;
    this->OutgoingBytes += Bytes.size();
    this->OutgoingMessages.push_back({To, std::move(Bytes)});
  }
  this->wake();
}

std::size_t PeerNetwork::outgoingBytes() {
  const std::lock_guard Lock(this->Mutex);
  return this->OutgoingBytes;
}

void PeerNetwork::wake() {
  const std::uint64_t Increment = 1;
  // Fails only when the counter is full; the thread then wakes up anyway.
  [[maybe_unused]] const auto Ignored =
      write(this->WakeDescriptor, &Increment, sizeof(Increment));
}

void PeerNetwork::run() {
  for (;;) {
    try {
      this->pollOnce();
    } catch (const zmq::error_t &Failure) {
      // A signal may be delivered to this thread and interrupt the poll.
      // Without this check, a SIGTERM or SIGHUP could terminate the process.
      if (Failure.num() != EINTR)
        throw;
    }
    const std::lock_guard Lock(this->Mutex);
    if (this->Stopping)
      return;
  }
}

void PeerNetwork::pollOnce() {
  std::vector<zmq::pollitem_t> Items{
      {this->Authenticator.socket().handle(), 0, ZMQ_POLLIN, 0},
      {this->Router.handle(), 0, ZMQ_POLLIN, 0},
      {nullptr, this->WakeDescriptor, ZMQ_POLLIN, 0}};
  this->Links.addPollItems(Items);
  zmq::poll(Items, this->pollTimeout());
  this->Authenticator.answerRequests();
  this->receiveAll();
  this->processCommands();
  this->Links.maintain(steadyNow());
}

milliseconds PeerNetwork::pollTimeout() const {
  const Time Due = this->Links.nextMaintenance();
  if (Due == Never)
    return milliseconds(-1);
  const auto Remaining = std::chrono::ceil<milliseconds>(Due - steadyNow());
  return std::max(Remaining, milliseconds(0));
}

void PeerNetwork::processCommands() {
  std::uint64_t Count = 0;
  [[maybe_unused]] const auto Ignored =
      read(this->WakeDescriptor, &Count, sizeof(Count));
  std::vector<Outgoing> Messages;
  std::vector<ConnectPeers> Peers;
  {
    const std::lock_guard Lock(this->Mutex);
    Messages.swap(this->OutgoingMessages);
    this->OutgoingBytes = 0;
    Peers.swap(this->NewPeers);
  }
  for (const ConnectPeers &Change : Peers) {
    if (Change.IsUpdate)
      this->Links.addPeers(Change.Peers);
    else
      this->Links.setPeers(Change.Peers);
  }
  for (Outgoing &Message : Messages)
    this->Links.send(Message.To, std::move(Message.Bytes), steadyNow());
}

void PeerNetwork::receiveAll() {
  for (int Count = 0; Count < MessagesPerTurn; ++Count) {
    std::vector<zmq::message_t> Frames;
    if (!zmq::recv_multipart(this->Router, std::back_inserter(Frames),
                             zmq::recv_flags::dontwait))
      return;
    constexpr std::size_t ExpectedFrames = 2; // Connection id and payload.
    if (Frames.size() == ExpectedFrames)
      this->handlePayload(Frames.back());
    else
      this->Callbacks.OnMalformed("unexpected number of frames");
  }
}

void PeerNetwork::handlePayload(zmq::message_t &Payload) {
  try {
    PeerMessage Message = decodePeerMessage(Payload.to_string_view());
    if (this->Values.Encrypted)
      requireSenderKey(Payload, Message.From);
    this->Callbacks.OnMessage(std::move(Message), Payload.size());
  } catch (const std::exception &Failure) {
    this->Callbacks.OnMalformed(Failure.what());
  }
}

} // namespace banyanpick
