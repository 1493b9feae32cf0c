/// \file
/// What runs on one engine, as far as this host and its peers sent it.
#pragma once

#include "kernel/GatewayServices.h"
#include "plugins/engineload/EngineState.h"

#include <map>
#include <vector>

namespace banyanpick {

/// The work of one try on one engine.
struct LoadItem {
  AttemptId Try;
  double PrefillMs = 0; ///< To its first token, alone; 0 once it writes.
  std::uint64_t MemoryTokens = 0;
  bool IsShort = false; ///< One engine reads its prompt beside answers.
  GapGroup Answer;      ///< Of value 0 where only a part is read.
  bool Writes = false;
};

/// Reads of all hosts are taken to be done one after the other, as the engine
/// does them.
class EngineLoad {
public:
  void add(const LoadItem &Item, Time Now);
  /// The try's first token came.
  void began(const AttemptId &Try, Time Now);
  void remove(const AttemptId &Try, Time Now);
  void takePeer(const HostId &Peer, const EngineWork::Item &Work, Time Now);
  void forgetPeer(const HostId &Peer, Time Now);

  /// Reading still to do, by everybody, in milliseconds.
  double backlogMs(Time Now) const;
  /// The read under way takes longer than predicted; when it ends is not known.
  bool isOverdue(Time Now) const;
  std::uint32_t reading(Time Now) const;
  std::uint32_t writing(Time Now) const;
  std::uint64_t memoryTokens(Time Now) const;
  /// What the answers under way have before them, in tokens.
  std::uint64_t contextTokens(Time Now) const;
  /// Requests with short prompts, read or written.
  std::uint32_t shortRunning(Time Now) const;
  /// Answers by the time that they may pause.
  std::vector<GapGroup> answers(Time Now) const;

  /// What this host has there, for its peers.
  EngineWork::Item ownWork(const UpstreamId &Engine) const;
  bool hasOwn() const { return !this->Own.empty(); }
  bool isIdle() const { return this->Own.empty() && this->Peers.empty(); }

private:
  struct PeerWork {
    EngineWork::Item Work;
    Time At{};
  };

  /// What is to be read, by everybody.
  struct Reads {
    double Ms = 0;
    std::uint32_t Count = 0;
  };

  static bool isCurrent(const PeerWork &Of, Time Now);
  Reads ownReads() const;
  Reads allReads(Time Now) const;
  /// The next read begins when one has ended, or none was under way.
  void noteReads(const Reads &Before, Time Now);

  std::vector<LoadItem> Own;
  Time HeadSince{}; ///< Since when the read under way is.
  std::map<HostId, PeerWork> Peers;
};

} // namespace banyanpick
