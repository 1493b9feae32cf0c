/// \file
/// In which order prompts that several engines read together are sent.
#pragma once

#include "kernel/PeerMessage.h"

#include <map>
#include <span>
#include <vector>

namespace banyanpick {

/// Engines read parts of prompts in the order in which they come, so the order
/// is made before they are sent: every host knows what all hosts have waiting,
/// sorts it by the same rule and sends its own when it comes up. Hosts that see
/// different sets for a moment only lose time.
///
/// The load that it answers: several long prompts at once. Sent at once, their
/// parts pile up on the engines, where answers pause for all of them together,
/// and a long one delays many shorter ones that could have been in time.
class PromptQueue {
public:
  using Waiting = EngineWork::Waiting;

  PromptQueue() = default;
  /// \p Keep is how long an entry counts that is not heard of again: its host
  /// died, or its caller left.
  PromptQueue(Duration Keep, double LateShare)
      : Keep(Keep), LateShare(LateShare) {}

  /// A prompt of this host waits, or still does. Whether that is news.
  bool note(const Waiting &Own, Time Now);
  /// It waits no longer. Whether that is news.
  bool drop(std::uint64_t Request);
  void takePeer(const HostId &Peer, std::span<const Waiting> All, Time Now);
  void forgetPeer(const HostId &Peer) { this->Peers.erase(Peer); }

  /// How many others go before the prompt.
  std::size_t rank(const Waiting &Own, const HostId &Self, Time Now) const;
  /// What this host has waiting, for its peers.
  std::vector<Waiting> own(Time Now) const;

private:
  struct Entry {
    Waiting What;
    Time At{};
  };

  std::vector<Entry> current(const std::vector<Entry> &Of, Time Now) const;

  Duration Keep{};
  double LateShare = 0;
  std::vector<Entry> Own;
  std::map<HostId, std::vector<Entry>> Peers;
};

/// What the prompt brings for each millisecond of reading when it is sent now.
double queueWeight(const EngineWork::Waiting &Of, Duration Since,
                   double LateShare);

} // namespace banyanpick
