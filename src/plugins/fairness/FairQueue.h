/// \file
/// All waiting requests of one host, in lanes that teams share fairly.
#pragma once

#include "plugins/fairness/FairLane.h"
#include "plugins/fairness/LaneKey.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace banyanpick {

/// How work is measured and when it ages.
struct FairQueuePolicy {
  double DecodeWeight = 4;    ///< Work of an output token, in prompt tokens.
  double AgingFraction = 0.5; ///< Part of the promise after which work ages.
  Duration LaneMemory = seconds(60); ///< How long an unused lane is kept.
};

/// Work done for a team in a lane.
struct LaneWork {
  TeamId Team;
  std::uint32_t Lane = 0; ///< hashOf() its key.
  double Tokens = 0;      ///< Negative for a correction.
};

/// Requests enter lanes by urgency, length and target. Those that have used
/// up a part of their promise by waiting move to a lane above all urgencies,
/// so that long work meets its promise beside a flood of urgent work.
class FairQueue {
public:
  explicit FairQueue(const FairQueuePolicy &Policy) : Policy(Policy) {}

  /// Adds it unless it waits already; it is not to be tried before \p From.
  void push(const Request &Waiting, bool IsIsolated, Time From, Time Now);
  /// Takes it out of its lane.
  void remove(const RequestId &Id);
  /// The requests to try, most entitled first. Every lane with waiting work
  /// has a part of \p Most; lanes beyond \p Most take turns.
  std::vector<RequestId> candidates(std::size_t Most, Time Now);

  /// A try was sent: the team is charged for the work expected of it.
  LaneWork dispatched(const Request &Sent, double PrefillTokens);
  /// The try ended after this much work; the charge is corrected.
  LaneWork ended(const Request &Sent, double PrefillTokens,
                 double OutputTokens);
  /// The request has its final answer.
  void forget(const RequestId &Id);
  /// A peer did work for a team.
  void chargeRemote(const LaneWork &Work, double Weight);

  /// Drops lanes that nothing has used for a while.
  void prune(Time Now);

  std::size_t size() const { return this->Count; }
  std::size_t lanes() const { return this->Lanes.size(); }
  /// Whether every request waits in one lane at most, and all lanes agree.
  bool isConsistent() const;
  /// The sum of all lanes' virtual times and of those dropped; never falls.
  double virtualTime() const;

private:
  struct Lane {
    FairLane Work;
    std::uint32_t Hash = 0;
    Time UsedAt{};
  };
  /// A request from its first push to its final answer.
  struct Known {
    LaneKey Base;
    LaneKey In; ///< Base, or its aged lane.
    TeamId Team;
    double Weight = 1;
    WaitingWork Work;
    Time AgesAt{};
    Time HeldUntil{};
    double Charged = 0; ///< For the try that runs.
    bool IsWaiting = false;
  };

  void enter(Known &Of, const LaneKey &Into, Time Now);
  void leave(Known &Of);
  void age(Time Now);
  void wake(Time Now);
  Known &know(const Request &Asked, bool IsIsolated);
  double workOf(double PrefillTokens, double OutputTokens) const;
  FairLane *laneByHash(std::uint32_t Hash);

  FairQueuePolicy Policy;
  std::map<LaneKey, Lane> Lanes;
  std::unordered_map<RequestId, Known> Requests;
  std::set<std::pair<Time, RequestId>> Aging; ///< Waiting, by AgesAt.
  std::set<std::pair<Time, RequestId>> Held;  ///< By HeldUntil.
  std::size_t Count = 0;
  std::size_t Turn = 0;      ///< Rotates over lanes when there are many.
  double DroppedVirtual = 0; ///< Virtual times of lanes dropped.
};

} // namespace banyanpick
