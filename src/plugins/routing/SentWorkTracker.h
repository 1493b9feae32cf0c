/// \file
/// The attempts of this host that run on engines, with the prefill expected of
/// each.
#pragma once

#include "kernel/Services.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace banyanpick {

/// One own attempt on an engine.
struct SentWork {
  AttemptId Attempt;
  Time SentAt{};
  std::uint32_t Priority = 0;
  std::uint64_t PrefillTokens = 0; ///< 0 once the first token came.
  std::uint64_t MemoryTokens = 0;  ///< Prompt and bound of the answer.
  bool IsLong = false;
  bool IsIsolated = false; ///< A suspect of crashing engines.
};

/// Sums over some of the attempts on an engine.
struct WorkSum {
  std::uint64_t PrefillTokens = 0;
  std::uint64_t MemoryTokens = 0;
  std::uint32_t Requests = 0;
};

class SentWorkTracker {
public:
  void sent(const UpstreamId &Engine, SentWork Work);
  void firstToken(const UpstreamId &Engine, const AttemptId &Attempt);
  void ended(const UpstreamId &Engine, const AttemptId &Attempt);

  /// Attempts sent after \p Since at or above the priority.
  WorkSum sentSince(const UpstreamId &Engine, Time Since,
                    std::uint32_t Priority) const;
  /// Prefill of long attempts that gave no token yet.
  std::uint64_t longPrefill(const UpstreamId &Engine) const;
  bool hasIsolated(const UpstreamId &Engine) const;
  std::size_t attempts(const UpstreamId &Engine) const;

private:
  SentWork *find(const UpstreamId &Engine, const AttemptId &Attempt);
  const std::vector<SentWork> *findItems(const UpstreamId &Engine) const;

  std::unordered_map<UpstreamId, std::vector<SentWork>> ByEngine;
};

} // namespace banyanpick
