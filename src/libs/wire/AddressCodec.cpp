#include "wire/AddressCodec.h"

#include "peer.pb.h"
#include "wire/WireChecks.h"

namespace banyanpick::wire {

namespace {

/// Largest port number; ports have 16 bits.
constexpr std::uint32_t HighestPort = 65535;

} // namespace

void toWire(const Address &Source, SocketAddress &Out) {
  Out.set_ip(Source.Ip);
  Out.set_port(Source.Port);
}

Address fromWire(const SocketAddress &In) {
  if (In.port() > HighestPort)
    throwMalformed("a port is out of range");
  return {In.ip(), static_cast<std::uint16_t>(In.port())};
}

} // namespace banyanpick::wire
