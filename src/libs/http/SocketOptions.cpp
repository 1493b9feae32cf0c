#include "http/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace banyanpick {

namespace {

/// Seconds without traffic before the first probe, between probes, and how many
/// stay unanswered: a silent peer is noticed within some three seconds, by two
/// small packets a second at most.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

/// Milliseconds that sent bytes may stay unacknowledged: twenty times the
/// longest way there and back within a region, and two retransmissions.
constexpr int MaxUnacknowledgedMs = 2500;

/// A missing option makes a silent peer be noticed later, not wrongly, so that
/// a refusal of the system is no failure.
void setOption(int Descriptor, int Level, int Option, int Value) {
  [[maybe_unused]] const int Ignored =
      setsockopt(Descriptor, Level, Option, &Value, sizeof(Value));
}

} // namespace

void tuneConnection(Tcp::socket &Socket) {
  const int Descriptor = Socket.native_handle();
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, MaxUnacknowledgedMs);
}

} // namespace banyanpick
