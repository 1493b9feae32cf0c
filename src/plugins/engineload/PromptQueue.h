/// \file
/// The order in which prompts that several engines prefill are sent.
#pragma once

#include "kernel/PeerMessage.h"

#include <map>
#include <span>
#include <vector>

namespace banyanpick {

/// Orders the long prompts of all hosts. Engines prefill parts in the order of
/// arrival, so the order has to be decided before prompts are sent. Every host
/// knows the waiting prompts of all hosts, sorts them by the same rule, and
/// sends its own when it is first. Hosts with different views for a moment only
/// lose time.
///
/// Without an order, several long prompts that are sent at once pile up on the
/// engines. Running answers then pause for all of them together, and one long
/// prompt delays many shorter ones that could have met their objectives.
class PromptQueue {
public:
  using QueuedPrompt = EngineWork::QueuedPrompt;

  PromptQueue() = default;
  /// \p Ttl is the lifetime of an entry that is not renewed because its host
  /// died or its caller left.
  PromptQueue(Duration Ttl, double LateShare)
      : Ttl(Ttl), LateShare(LateShare) {}

  /// Adds or renews a prompt of this host. Returns whether the prompt is new.
  bool note(const QueuedPrompt &Prompt, Time Now);
  /// Removes a prompt of this host. Returns whether it was queued.
  bool drop(std::uint64_t Request);
  void takePeer(const HostId &Peer, std::span<const QueuedPrompt> All,
                Time Now);
  void forgetPeer(const HostId &Peer) { this->Peers.erase(Peer); }

  /// Returns the number of prompts that go before this one.
  std::size_t rank(const QueuedPrompt &Prompt, const HostId &Self,
                   Time Now) const;
  /// Returns the prefill time of the prompts that go before this one.
  double prefillAheadMs(const QueuedPrompt &Prompt, const HostId &Self,
                        Time Now) const;
  /// Returns this host's waiting prompts, for its peers.
  std::vector<QueuedPrompt> own(Time Now) const;

private:
  struct Entry {
    QueuedPrompt Prompt;
    Time NotedAt{};
  };

  /// Calls \p Visit with the prompts that go before this one.
  template <class Function>
  void visitBefore(const QueuedPrompt &Prompt, const HostId &Self, Time Now,
                   Function Visit) const;
  std::vector<Entry> current(const std::vector<Entry> &Entries, Time Now) const;

  Duration Ttl{};
  double LateShare = 0;
  std::vector<Entry> Own;
  std::map<HostId, std::vector<Entry>> Peers;
};

/// Returns the value of a prompt per millisecond of prefill when it is sent
/// now.
double queueWeight(const EngineWork::QueuedPrompt &Prompt, Duration Since,
                   double LateShare);

} // namespace banyanpick
