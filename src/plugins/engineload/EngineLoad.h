/// \file
/// The load of one engine, from this host's attempts and its peers' reports.
#pragma once

#include "kernel/GatewayServices.h"
#include "plugins/engineload/EngineState.h"

#include <map>
#include <vector>

namespace banyanpick {

/// The work of one attempt on one engine.
struct LoadItem {
  AttemptId Attempt;
  /// Predicted time until the first token if nothing else ran on the engine; 0
  /// once decoding.
  double PrefillMs = 0;
  std::uint64_t MemoryTokens = 0;
  /// The prompt is short: one engine prefills it beside running answers.
  bool IsShort = false;
  GapGroup Answer; ///< Value 0 on engines that prefill only a part.
  bool IsDecoding = false;
};

/// Tracks the work of all hosts on one engine. Assumes that an engine processes
/// prefills one after the other, including those of other hosts.
class EngineLoad {
public:
  void add(const LoadItem &Item, Time Now);
  /// Called when the attempt's first token arrives.
  void startDecoding(const AttemptId &Attempt, Time Now);
  void remove(const AttemptId &Attempt, Time Now);
  void takePeer(const HostId &Peer, const EngineWork::Item &Work, Time Now);
  void forgetPeer(const HostId &Peer, Time Now);

  /// Returns the remaining prefill work of all hosts, in milliseconds.
  double backlogMs(Time Now) const;
  /// Returns whether the current prefill takes longer than predicted, so that
  /// its end is unknown.
  bool isOverdue(Time Now) const;
  std::uint32_t prefilling(Time Now) const;
  std::uint32_t decoding(Time Now) const;
  std::uint64_t memoryTokens(Time Now) const;
  /// Returns the context length of the running answers, in tokens.
  std::uint64_t contextTokens(Time Now) const;
  /// Returns the number of requests with short prompts, in prefill or decoding.
  std::uint32_t shortRunning(Time Now) const;
  /// Returns the running answers, grouped by their inter-event gap bound.
  std::vector<GapGroup> answers(Time Now) const;

  /// Returns this host's work on the engine, as reported to peers.
  EngineWork::Item ownWork(const UpstreamId &Engine) const;
  std::size_t ownCount() const { return this->Own.size(); }
  bool hasOwn() const { return !this->Own.empty(); }
  bool isIdle() const { return this->Own.empty() && this->Peers.empty(); }

private:
  struct PeerWork {
    EngineWork::Item Work;
    Time ReceivedAt{};
  };

  /// Outstanding prefill work.
  struct Prefills {
    double Ms = 0;
    std::uint32_t Count = 0;
  };

  static bool isCurrent(const PeerWork &Report, Time Now);
  Prefills ownPrefills() const;
  Prefills allPrefills(Time Now) const;
  /// Restarts the timer of the current prefill if one has ended, or if none was
  /// running before.
  void notePrefills(const Prefills &Before, Time Now);

  std::vector<LoadItem> Own;
  Time HeadSince{}; ///< When the current prefill started.
  std::map<HostId, PeerWork> Peers;
};

} // namespace banyanpick
