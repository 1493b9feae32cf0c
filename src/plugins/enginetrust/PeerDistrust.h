/// \file
/// Peers' reports of engines that fail.
#pragma once

#include "kernel/PeerMessage.h"

#include <map>
#include <span>

namespace banyanpick {

/// Holds back engines that a peer avoids, slightly longer than the peer does,
/// so that a single host probes the engine and not all hosts at once. A healthy
/// answer to a later attempt of this host takes precedence.
///
/// Engines that fail at once look idle and attract the requests of all hosts.
/// Without reports, each host would detect the failure only by losing requests.
class PeerDistrust {
public:
  /// Processes a peer's report. \p Reported are engines of one service, which
  /// has \p Engines engines. A peer that distrusts many of them is probably
  /// faulty itself or behind a faulty link, and is ignored. Returns the number
  /// of engines that are newly held back.
  std::size_t take(const HostId &Peer,
                   std::span<const EngineWork::Distrust> Reported,
                   std::size_t Engines, Time Now);
  /// Called when the engine answers an attempt that this host sent at \p
  /// SentAt.
  void noteHealthy(const UpstreamId &Engine, Time SentAt);

  bool isHeldBack(const UpstreamId &Engine, Time Now) const;
  void forget(const UpstreamId &Engine);
  std::size_t size() const { return this->ByEngine.size(); }

private:
  struct Held {
    HostId Peer;
    Time Since{};
    Time Until{};
  };

  std::map<UpstreamId, Held> ByEngine;
  std::map<UpstreamId, Time> HealthySentAt;
};

} // namespace banyanpick
