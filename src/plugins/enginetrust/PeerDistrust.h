/// \file
/// What other hosts say of engines that fail them.
#pragma once

#include "kernel/PeerMessage.h"

#include <map>
#include <span>

namespace banyanpick {

/// Holds each engine back that a peer avoids, a little longer than the peer
/// does, so that one host tries it anew and not all at once. What this host saw
/// itself of tries sent later goes first.
///
/// The load that it answers: engines that fail at once look idle, and draw what
/// every host gathers; each host would learn it alone, by losing requests.
class PeerDistrust {
public:
  /// \p Told are engines of one service, which has so many \p Engines. A peer
  /// that distrusts many of them is at fault itself, or its link is, and is not
  /// believed. Returns how many are held back that were not before.
  std::size_t take(const HostId &Peer,
                   std::span<const EngineWork::Distrust> Told,
                   std::size_t Engines, Time Now);
  /// A try that this host sent then is answered by the engine.
  void noteHealthy(const UpstreamId &Engine, Time SentAt);

  bool isHeldBack(const UpstreamId &Engine, Time Now) const;
  void forget(const UpstreamId &Engine);
  std::size_t size() const { return this->ByEngine.size(); }

private:
  struct Held {
    HostId By;
    Time Since{};
    Time Until{};
  };

  std::map<UpstreamId, Held> ByEngine;
  std::map<UpstreamId, Time> SoundSentAt;
};

} // namespace banyanpick
