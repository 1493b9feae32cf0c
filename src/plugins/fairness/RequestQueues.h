/// \file
/// All waiting requests of one host, in queues that teams share fairly.
#pragma once

#include "plugins/fairness/QueueKey.h"
#include "plugins/fairness/StartTimeFairQueue.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace banyanpick {

/// The measure of work and the time after which it ages.
struct RequestQueuesPolicy {
  double DecodeWeight = 4; ///< Work of an output token, in prompt tokens.
  /// Part of the promised time to first token after which work ages.
  double AgingFraction = 0.5;
  Duration MaxIdleTime = seconds(60); ///< How long an unused queue is kept.
};

/// Work done for a team in a queue.
struct QueueWork {
  TeamId Team;
  std::uint32_t QueueHash = 0; ///< queueHash() of its key.
  double Tokens = 0;           ///< Negative for a correction.
};

/// Requests are queued by urgency, length and target. A request that has used
/// part of its time to first token by waiting moves to a queue above all
/// urgencies, so that long work meets its deadline under a load of urgent work.
class RequestQueues {
public:
  explicit RequestQueues(const RequestQueuesPolicy &Policy) : Policy(Policy) {}

  /// Adds the request unless it is already waiting. The request is not
  /// dispatched before \p NotBefore.
  void push(const Request &Req, bool IsIsolated, Time NotBefore, Time Now);
  /// Removes the request from its queue.
  void remove(const RequestId &Id);
  /// Returns the requests to dispatch, in the order of service. Every queue
  /// with waiting work gets a part of \p MaxCount. If there are more queues
  /// than \p MaxCount, the queues beyond the first half take turns.
  std::vector<RequestId> candidates(std::size_t MaxCount, Time Now);

  /// Called when an attempt is sent. Charges the team for the expected work.
  QueueWork dispatched(const Request &Req, double PrefillTokens);
  /// Called when the attempt ended after this much work. Corrects the charge.
  QueueWork ended(const Request &Req, double PrefillTokens,
                  double OutputTokens);
  /// Called when the request has its final answer.
  void forget(const RequestId &Id);
  /// Called when a peer reports work for a team.
  void chargeRemote(const QueueWork &Work, double Weight);

  /// Drops queues that were not used for MaxIdleTime.
  void prune(Time Now);

  std::size_t size() const { return this->Count; }
  std::size_t queueCount() const { return this->Queues.size(); }
  /// Returns whether every request waits in at most one queue and all queues
  /// are consistent.
  bool isConsistent() const;
  /// Returns the sum of the virtual times of all queues, including dropped
  /// ones. It never decreases.
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
    QueueKey Current; ///< Base, or the key of its held or aged queue.
    TeamId Team;
    double Weight = 1;
    WaitingWork Work;
    Time AgesAt{};
    Time HeldUntil{};
    double Charged = 0; ///< For the running attempt.
    bool IsWaiting = false;
  };

  void enqueue(TrackedRequest &Entry, const QueueKey &Key, Time Now);
  void dequeue(TrackedRequest &Entry);
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
  std::size_t Rotation = 0;  ///< Rotates over the queues if there are many.
  double DroppedVirtual = 0; ///< Sum of the virtual times of dropped queues.
};

} // namespace banyanpick
