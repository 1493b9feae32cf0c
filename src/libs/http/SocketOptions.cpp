#include "http/SocketOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace banyanpick {

namespace {

/// Seconds without traffic before the first probe, seconds between probes, and
/// the number of unanswered probes. A silent peer is detected within about
/// three seconds, with at most two small packets a second.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

/// How long bytes that were sent to a server may stay unacknowledged, in
/// milliseconds: twenty times the longest round trip within a region, plus two
/// retransmissions.
constexpr int MaxUnacknowledgedMs = 2500;

/// Ignores errors of the system: without an option, a silent peer is detected
/// later, but never wrongly.
void setOption(int Descriptor, int Level, int Option, int Value) {
  [[maybe_unused]] const int Ignored =
      setsockopt(Descriptor, Level, Option, &Value, sizeof(Value));
}

} // namespace

void tuneCallerConnection(Tcp::socket &Socket) {
  const int Descriptor = Socket.native_handle();
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

void tuneServerConnection(Tcp::socket &Socket) {
  tuneCallerConnection(Socket);
  setOption(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
            MaxUnacknowledgedMs);
}

} // namespace banyanpick
