/// \file
/// All waiting requests of one host, in lanes that teams share fairly.
#pragma once

#include "plugins/fairness/QueueKey.h"
#include "plugins/fairness/StartTimeFairQueue.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace banyanpick {

/// How work is measured and when it ages.
struct RequestQueuesPolicy {
  double DecodeWeight = 4;    ///< Work of an output token, in prompt tokens.
  double AgingFraction = 0.5; ///< Part of the promise after which work ages.
  Duration MaxIdleTime = seconds(60); ///< How long an unused lane is kept.
};

/// Work done for a team in a lane.
struct QueueWork {
  TeamId Team;
  std::uint32_t QueueHash = 0; ///< queueHash() its key.
  double Tokens = 0;           ///< Negative for a correction.
};

/// Requests enter lanes by urgency, length and target. Those that have used
/// up a part of their promise by waiting move to a lane above all urgencies,
/// so that long work meets its promise beside a flood of urgent work.
class RequestQueues {
public:
  explicit RequestQueues(const RequestQueuesPolicy &Policy) : Policy(Policy) {}

  /// Adds it unless it waits already; it is not to be tried before \p From.
  void push(const Request &Req, bool IsIsolated, Time NotBefore, Time Now);
  /// Takes it out of its lane.
  void remove(const RequestId &Id);
  /// The requests to try, most entitled first. Every lane with waiting work
  /// has a part of \p Most; lanes beyond \p Most take turns.
  std::vector<RequestId> candidates(std::size_t MaxCount, Time Now);

  /// A try was sent: the team is charged for the work expected of it.
  QueueWork dispatched(const Request &Req, double PrefillTokens);
  /// The try ended after this much work; the charge is corrected.
  QueueWork ended(const Request &Req, double PrefillTokens,
                  double OutputTokens);
  /// The request has its final answer.
  void forget(const RequestId &Id);
  /// A peer did work for a team.
  void chargeRemote(const QueueWork &Work, double Weight);

  /// Drops lanes that nothing has used for a while.
  void prune(Time Now);

  std::size_t size() const { return this->Count; }
  std::size_t queueCount() const { return this->Queues.size(); }
  /// Whether every request waits in one lane at most, and all lanes agree.
  bool isConsistent() const;
  /// The sum of all lanes' virtual times and of those dropped; never falls.
  double virtualTime() const;

private:
  struct Queue {
    StartTimeFairQueue Work;
    std::uint32_t Hash = 0;
    Time UsedAt{};
  };
  /// A request from its first push to its final answer.
  struct TrackedRequest {
    QueueKey Base;
    QueueKey Current; ///< Base, or its aged lane.
    TeamId Team;
    double Weight = 1;
    WaitingWork Work;
    Time AgesAt{};
    Time HeldUntil{};
    double Charged = 0; ///< For the try that runs.
    bool IsWaiting = false;
  };

  void enqueue(TrackedRequest &Of, const QueueKey &Into, Time Now);
  void dequeue(TrackedRequest &Of);
  void moveAged(Time Now);
  void releaseHeld(Time Now);
  TrackedRequest &findOrAdd(const Request &Req, bool IsIsolated);
  double workTokens(double PrefillTokens, double OutputTokens) const;
  StartTimeFairQueue *findByHash(std::uint32_t Hash);

  RequestQueuesPolicy Policy;
  std::map<QueueKey, Queue> Queues;
  std::unordered_map<RequestId, TrackedRequest> Requests;
  std::set<std::pair<Time, RequestId>> Aging; ///< Waiting, by AgesAt.
  std::set<std::pair<Time, RequestId>> Held;  ///< By HeldUntil.
  std::size_t Count = 0;
  std::size_t Rotation = 0;  ///< Rotates over lanes when there are many.
  double DroppedVirtual = 0; ///< Virtual times of lanes dropped.
};

} // namespace banyanpick
