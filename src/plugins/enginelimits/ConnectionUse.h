/// \file
/// The connections of all hosts to the engines.
#pragma once

#include "kernel/GatewayServices.h"

#include <map>
#include <set>
#include <span>

namespace banyanpick {

/// Counts the requests that run on each engine, each of which holds a
/// connection, and decides whether this host may open another one. Otherwise
/// many hosts that send to one engine at once would exceed its limit.
///
/// Each host keeps to its part of the limit. Requests are distributed unevenly
/// over engines, so a part is often too small while the engine has many
/// connections left. Below half of the limit, a host may exceed its part.
class ConnectionUse {
public:
  void begin(const RelayAttempt &Attempt);
  void end(const RelayAttempt &Attempt);
  /// Replaces what is known of a peer's requests.
  void takePeer(const HostId &Peer, std::span<const EngineWork::Item> Items,
                Time Now);

  /// Returns the service of this host's requests to the engine, or null if
  /// there are none.
  const ServiceId *serviceOf(const UpstreamId &Engine) const;
  /// Whether one more request of this host stays within its part \p Share of
  /// the engine's limit \p MaxConnections.
  bool mayOpen(const UpstreamId &Engine, std::uint32_t MaxConnections,
               double Share) const;

private:
  struct OwnUse {
    ServiceId Service;
    std::set<AttemptId> Attempts;
  };
  struct PeerUse {
    std::map<UpstreamId, std::uint32_t> Requests;
    Time HeardAt{};
  };

  void forget(const PeerUse &Use);

  std::map<UpstreamId, OwnUse> Own;
  std::map<HostId, PeerUse> Peers;
  std::map<UpstreamId, std::uint32_t> PeerTotals;
};

/// Returns this host's part of a limit on connections; at least one, because an
/// engine without any connection serves nothing.
std::uint32_t connectionPart(std::uint32_t MaxConnections, double Share);

} // namespace banyanpick
