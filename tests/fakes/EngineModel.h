/// \file
/// Simulates a model engine in virtual time: continuous batching with chunked
/// prefill, priorities, limited KV memory and a prefix cache. Used by the
/// virtual deployment, the benchmarks and the engine stand-in process.
#pragma once

#include "fakes/PrefixCacheModel.h"
#include "kernel/Action.h"
#include "kernel/Upstream.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace banyanpick {

/// Performance and capabilities of one engine.
struct EngineShape {
  UpstreamId Id;
  Incarnation Life;
  std::uint64_t MemoryTokens = 400'000;    ///< KV memory.
  double PrefillTokensPerSecond = 50'000;  ///< Without decoding.
  Duration StepBase = milliseconds(8);     ///< Base time of a decode step.
  Duration StepPerRequest = Duration(120); ///< Added for each request.
  std::uint32_t MaxBatch = 64;
  std::uint64_t PrefillChunkTokens = 2048; ///< Prefill done in one step.
  Duration CacheEventLag = milliseconds(300);
  bool ChecksFencing = true;
  std::vector<ModelId> Models;
};

/// One attempt as the engine receives it.
struct EngineJob {
  AttemptId Attempt;
  std::string Owner; ///< Entry host of the attempt.
  std::uint64_t PromptTokens = 0;
  std::uint64_t OutputTokens = 0; ///< Total, with those before StartIndex.
  std::uint64_t StartIndex = 0;   ///< First chunk to produce.
  std::uint32_t Priority = 0;
  std::vector<BlockHash> Blocks;
  Time Deadline{};
  bool HasGroup = false; ///< Other engines hold the remaining memory.
  /// Holds of the group. A hold on this engine is memory of this job.
  std::vector<HoldId> Holds{};
};

/// Schedules jobs in steps. A job allocates memory for its prompt and complete
/// output when it enters the batch. A job with a group uses its hold on this
/// engine, or else allocates at most half of the memory. Jobs wait by priority,
/// then arrival. In each step, every job that has finished its prefill produces
/// one chunk, and the prefill chunk goes to the jobs of the highest priorities.
/// Jobs end at their deadline. Group holds stay until they are released.
class EngineModel {
public:
  explicit EngineModel(EngineShape Shape);

  enum class SubmitResult { Accepted, Busy, NoMemory, Leaving };
  /// Queues the job, or returns why it is refused. Call advance() for the same
  /// time first.
  SubmitResult submit(const EngineJob &Job, Time Now);
  /// Removes the job and frees its memory. Returns true also for unknown jobs.
  bool cancel(const AttemptId &Attempt, Time Now);

  /// Chunks [FirstIndex, FirstIndex + Count) that the attempt produced.
  struct Output {
    AttemptId Attempt;
    std::uint64_t FirstIndex = 0;
    std::uint64_t Count = 0;
    bool Ended = false;
  };
  /// Returns the end of the running step, or Never when idle.
  Time nextStep() const;
  /// Runs all steps that end by \p Now and returns their output in order.
  std::vector<Output> advance(Time Now);

  /// Returns the current load. Callers simulate the lag of reports.
  LoadReport report(Time Now) const;
  /// Returns the cache events after \p Sequence that are at least as old as
  /// CacheEventLag.
  std::vector<CacheEvent> cacheEventsAfter(std::uint64_t Sequence,
                                           Time Now) const;

  /// Allocates memory for a group. Returns false when there is too little
  /// memory that is neither allocated nor needed by an accepted job, or the
  /// engine is leaving. Idempotent by id.
  bool takeHold(const HoldId &Hold, const std::string &Owner,
                std::uint64_t Tokens, Time Deadline);
  void releaseHold(const HoldId &Hold);
  OrderResult order(LogOffset Fencing, const OrderBody &Body);
  void setLeaving(bool Leaving) { this->Leaving = Leaving; }

  const EngineShape &shape() const { return this->Shape; }
  /// Returns the memory of all jobs and holds in tokens. It is 0 when the
  /// engine is idle, has no holds and leaks no memory.
  std::uint64_t heldTokens() const { return this->HeldTokens; }
  /// Returns the total prefill in tokens.
  std::uint64_t prefilledTokens() const { return this->TotalPrefill; }
  /// Returns the prefill of jobs that were removed before their end, in tokens.
  std::uint64_t wastedPrefillTokens() const { return this->WastedPrefill; }

private:
  /// A job and its progress.
  struct Task {
    EngineJob Job;
    std::uint64_t Prefill = 0;     ///< Tokens still to prefill.
    std::uint64_t PrefillDone = 0; ///< Tokens prefilled here.
    std::uint64_t NextIndex = 0;   ///< Next chunk to produce.
    std::uint64_t Memory = 0;      ///< Allocated tokens.
    std::uint64_t StepPrefill = 0; ///< Tokens prefilled in the running step.
    bool StepDecodes = false;      ///< Produces a chunk in the running step.
  };
  struct GroupMemory {
    std::string Owner;
    std::uint64_t Tokens = 0;
    Time Deadline{};
  };

  std::uint64_t memoryNeeded(const EngineJob &Job) const;
  /// Returns the memory that the waiting jobs need.
  std::uint64_t waitingTokens() const;
  void allocate(std::uint64_t Tokens, Time Now);
  void admitWaiting(Time Now);
  void startStep(Time Now);
  Duration planStep();
  void finishStep(Time Now, std::vector<Output> &Out);
  void measureStep(Duration Length);
  void dropExpired(Time Now);
  void removeTask(const Task &Removed, bool Completed, Time Now);

  EngineShape Shape;
  bool Leaving = false;
  std::deque<Task> Waiting; ///< By priority, then arrival.
  std::vector<Task> Batch;
  std::map<HoldId, GroupMemory> Holds;
  PrefixCacheModel Cache;
  std::uint64_t HeldTokens = 0;
  Time StepBegan{};
  Time StepEnds = Never;
  double MeasuredPrefill = 0; ///< Tokens per second.
  double MeasuredDecode = 0;  ///< Tokens per second and job.
  LogOffset HighestFencing = 0;
  std::uint64_t TotalPrefill = 0;
  std::uint64_t WastedPrefill = 0;
};

} // namespace banyanpick
