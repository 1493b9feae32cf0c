/// \file
/// A model engine in virtual time: continuous batching with chunked prefill,
/// priorities, limited KV memory and a prefix cache. Used by the virtual
/// deployment, the benchmarks and the engine stand-in process.
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

/// The shape of one engine.
struct EngineShape {
  UpstreamId Id;
  Incarnation Life;
  std::uint64_t MemoryTokens = 400'000;    ///< KV memory.
  double PrefillTokensPerSecond = 50'000;  ///< With nothing else to do.
  Duration StepBase = milliseconds(8);     ///< A decode step with one request.
  Duration StepPerRequest = Duration(120); ///< More for each one beside it.
  std::uint32_t MaxBatch = 64;
  std::uint64_t PrefillChunkTokens = 2048; ///< Prefill done in one step.
  Duration CacheEventLag = milliseconds(300);
  bool ChecksFencing = true;
  std::vector<ModelId> Models;
};

/// One try, as the engine got it.
struct EngineJob {
  AttemptId Attempt;
  std::string Owner; ///< Entry host.
  std::uint64_t PromptTokens = 0;
  std::uint64_t OutputTokens = 0; ///< Chunks to give in all.
  std::uint64_t StartIndex = 0;   ///< First chunk to give.
  std::uint32_t Priority = 0;
  std::vector<BlockHash> Blocks;
  Time Deadline{};
  bool HasGroup = false; ///< Others hold the memory beyond its own.
  /// Holds of its group; memory held here is its own.
  std::vector<HoldId> Holds{};
};

/// The engine itself. A job takes memory for prompt and whole output when it
/// enters the batch; one with a group uses its hold here, or else takes at most
/// half of the memory. Jobs wait by priority, then arrival. In a step each job
/// past its prefill gives one chunk, and the prefill chunk goes to the highest
/// priorities. Jobs end at their deadline; group holds stay until they are
/// released.
class EngineModel {
public:
  explicit EngineModel(EngineShape Shape);

  enum class SubmitResult { Accepted, Busy, NoMemory, Leaving };
  /// Call advance() for the same time first.
  SubmitResult submit(const EngineJob &Job, Time Now);
  /// Drops the job and frees its memory; true also when it is unknown.
  bool cancel(const AttemptId &Attempt, Time Now);

  /// Chunks [FirstIndex, FirstIndex + Count) of the attempt came out.
  struct Output {
    AttemptId Attempt;
    std::uint64_t FirstIndex = 0;
    std::uint64_t Count = 0;
    bool Ended = false;
  };
  /// When the running step ends; Never when idle.
  Time nextStep() const;
  /// Runs all steps that end by \p Now and gives what came out, in order.
  std::vector<Output> advance(Time Now);

  /// The load as it is now; callers make it lag.
  LoadReport report(Time Now) const;
  /// Cache events after the sequence that are older than the lag.
  std::vector<CacheEvent> cacheEventsAfter(std::uint64_t Sequence,
                                           Time Now) const;

  /// Takes memory for a group; false when there is none. Idempotent by id.
  bool takeHold(const HoldId &Hold, const std::string &Owner,
                std::uint64_t Tokens, Time Deadline);
  void releaseHold(const HoldId &Hold);
  OrderResult order(LogOffset Fencing, const OrderBody &Body);
  void setLeaving(bool Leaving) { this->Leaving = Leaving; }

  const EngineShape &shape() const { return this->Shape; }
  /// Memory held by anything at all; 0 when nothing leaks.
  std::uint64_t heldTokens() const { return this->HeldTokens; }
  /// Prefill done in all, in tokens.
  std::uint64_t prefilledTokens() const { return this->TotalPrefill; }
  /// Prefill done for jobs that left before their end, in tokens.
  std::uint64_t wastedPrefillTokens() const { return this->WastedPrefill; }

private:
  /// A job with what is left of it.
  struct Task {
    EngineJob Job;
    std::uint64_t Prefill = 0;     ///< Tokens still to prefill.
    std::uint64_t PrefillDone = 0; ///< Tokens prefilled here.
    std::uint64_t NextIndex = 0;   ///< Next chunk to give.
    std::uint64_t Memory = 0;      ///< Tokens taken.
    std::uint64_t StepPrefill = 0; ///< Prefilled in the running step.
    bool StepDecodes = false;      ///< Gives a chunk in the running step.
  };
  struct GroupMemory {
    std::string Owner;
    std::uint64_t Tokens = 0;
    Time Deadline{};
  };

  std::uint64_t memoryNeeded(const EngineJob &Job) const;
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
  double MeasuredPrefill = 0; ///< Tokens a second.
  double MeasuredDecode = 0;  ///< Tokens a second of one job.
  LogOffset HighestFencing = 0;
  std::uint64_t TotalPrefill = 0;
  std::uint64_t WastedPrefill = 0;
};

} // namespace banyanpick
