/// \file
/// Tracks the attempts of this host that run on engines, with their expected
/// prefill.
#pragma once

#include "kernel/Services.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace banyanpick {

/// An attempt of this host on an engine.
struct SentWork {
  AttemptId Attempt;
  Time SentAt{};
  std::uint32_t Priority = 0;
  std::uint64_t PrefillTokens = 0; ///< 0 after the first token.
  std::uint64_t MemoryTokens = 0;  ///< Prompt plus maximum output.
  bool IsLong = false;
  bool IsIsolated = false; ///< Suspected of crashing engines.
};

/// Sums over several attempts on an engine.
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

  /// Returns the sums over attempts sent after \p Since. PrefillTokens only
  /// counts attempts at or above the priority.
  WorkSum sentSince(const UpstreamId &Engine, Time Since,
                    std::uint32_t Priority) const;
  /// Returns the prefill tokens of long attempts before their first token.
  std::uint64_t longPrefill(const UpstreamId &Engine) const;
  bool hasIsolated(const UpstreamId &Engine) const;
  std::size_t attempts(const UpstreamId &Engine) const;

private:
  SentWork *find(const UpstreamId &Engine, const AttemptId &Attempt);
  const std::vector<SentWork> *findItems(const UpstreamId &Engine) const;

  std::unordered_map<UpstreamId, std::vector<SentWork>> ByEngine;
};

} // namespace banyanpick
