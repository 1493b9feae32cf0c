/// \file
/// Engines that work more slowly than declared.
#pragma once

#include "gateway/EngineRecord.h"
#include "kernel/PeerMessage.h"

#include <map>
#include <vector>

namespace banyanpick {

/// Limits on report requests to engines.
struct SlowdownLimits {
  Duration AskInterval{}; ///< Between two requests to the same engine.
  Duration MinPause{};    ///< Between two requests to any two engines.
  Duration Ttl{};         ///< How long a report is valid.
};

/// Tracks the slowdowns that engines report. A report request costs the engine
/// time, so engines are asked only after a late first token, and again while
/// they are slow.
class EngineSlowdowns {
public:
  EngineSlowdowns() = default;
  explicit EngineSlowdowns(const SlowdownLimits &Limits) : Limits(Limits) {}

  /// Called when the engine's first token came later than predicted. Returns
  /// whether to request a report now.
  bool noteLate(const UpstreamId &Engine, Time Now);
  /// Returns the slow engines that are due for another report request.
  std::vector<UpstreamId> due(Time Now);
  Time nextDue() const;

  /// Processes the engine's report. Returns whether the slowdown changed.
  bool takeReport(const EngineReport &Report, Time Now);
  void takePeer(const EngineWork::Slowdown &Reported, Time Now);
  void forget(const UpstreamId &Engine) { this->ById.erase(Engine); }

  /// Returns how many times longer than declared the engine's work takes; 1
  /// when unknown.
  double factorOf(const UpstreamId &Engine, Time Now) const;
  /// Returns the slow engines that reported to this host, for its peers.
  std::vector<EngineWork::Slowdown> own(Time Now) const;

private:
  struct Record {
    double Factor = 1;
    Time HeardAt{};
    bool Own = false; ///< The engine reported to this host.
    Time AskedAt{};
  };

  bool isSlow(const Record &Slowdown, Time Now) const;

  SlowdownLimits Limits;
  std::map<UpstreamId, Record> ById;
  Time AskedAt{}; ///< The last request to any engine.
};

} // namespace banyanpick
