/// \file
/// How much reading of long prompts is asked for.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <map>

namespace banyanpick {

/// Engines that long prompts keep busy, by a moving average over all hosts.
class LongDemand {
public:
  LongDemand() = default;
  /// \p Memory is the time after which a prompt weighs a third; \p MostMs
  /// bounds what one prompt counts.
  LongDemand(Duration Memory, double MostMs) : Memory(Memory), MostMs(MostMs) {}

  void note(double ReadMs, Time Now);
  void takePeer(const HostId &Peer, double Engines, Time Now);
  void forgetPeer(const HostId &Peer) { this->Peers.erase(Peer); }

  /// This host's part.
  double own(Time Now) const;
  double total(Time Now) const;

private:
  struct Average {
    double Engines = 0;
    Time At{};
  };

  double decayed(const Average &Of, Time Now) const;

  Duration Memory{};
  double MostMs = 0;
  Average Own;
  std::map<HostId, Average> Peers;
};

} // namespace banyanpick
