/// \file
/// How much slower than declared engines work.
#pragma once

#include "gateway/EngineRecord.h"
#include "kernel/PeerMessage.h"

#include <map>
#include <vector>

namespace banyanpick {

/// How engines are asked for their pace.
struct SlowdownLimits {
  Duration AskInterval{}; ///< Between two questions to one engine,
  Duration MinPause{};    ///< and between two to any.
  Duration Keep{};        ///< What was heard holds for so long.
};

/// What engines say of their own pace. They are asked only once an answer began
/// late, and again while they are slow, as each question costs them time.
class EngineSlowdowns {
public:
  EngineSlowdowns() = default;
  explicit EngineSlowdowns(const SlowdownLimits &Limits) : Limits(Limits) {}

  /// An answer of the engine began later than predicted; whether to ask it now.
  bool noteLate(const UpstreamId &Engine, Time Now);
  /// Slow engines that are to be asked again now.
  std::vector<UpstreamId> due(Time Now);
  Time nextDue() const;

  /// The engine's own report; whether the pace is news.
  bool takeReport(const EngineReport &Report, Time Now);
  void takePeer(const EngineWork::Slowdown &Seen, Time Now);
  void forget(const UpstreamId &Engine) { this->ById.erase(Engine); }

  /// How many times longer its work takes; 1 when nothing is known.
  double of(const UpstreamId &Engine, Time Now) const;
  /// Slow engines by their reports to this host, for its peers.
  std::vector<EngineWork::Slowdown> own(Time Now) const;

private:
  struct Seen {
    double Factor = 1;
    Time HeardAt{};
    bool Own = false; ///< It told this host.
    Time AskedAt{};
  };

  bool isSlow(const Seen &Of, Time Now) const;

  SlowdownLimits Limits;
  std::map<UpstreamId, Seen> ById;
  Time AskedAt{}; ///< Any engine.
};

} // namespace banyanpick
