#include "fakes/EngineModel.h"

#include "base/Visitor.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Maximum number of waiting jobs. Further jobs are refused as busy.
constexpr std::size_t MaxWaiting = 512;

/// Adds prefill tokens to the backlog of the priority.
void addBacklog(std::vector<PriorityBacklog> &Backlog, std::uint32_t Priority,
                std::uint64_t Tokens) {
  for (PriorityBacklog &Entry : Backlog) {
    if (Entry.Priority != Priority)
      continue;
    Entry.PrefillTokens += Tokens;
    return;
  }
  Backlog.push_back({Priority, Tokens});
}

/// Weight of the latest step in the moving averages of the speeds.
constexpr double SpeedSmoothing = 0.05;

double smoothed(double Old, double Newest) {
  return Old + SpeedSmoothing * (Newest - Old);
}

HoldReport streamHold(const EngineJob &Job, std::uint64_t Memory) {
  HoldReport Report;
  Report.Kind = HoldKind::Stream;
  Report.OwnerLife = Job.Attempt.Maker.Value;
  Report.Sequence = Job.Attempt.Sequence;
  Report.OwnerHost = Job.Owner;
  Report.Tokens = Memory;
  Report.Deadline = Job.Deadline;
  return Report;
}

} // namespace

EngineModel::EngineModel(EngineShape InitialShape)
    : Shape(std::move(InitialShape)),
      MeasuredPrefill(this->Shape.PrefillTokensPerSecond),
      MeasuredDecode(
          1 / inSeconds(this->Shape.StepBase + this->Shape.StepPerRequest)) {}

EngineModel::SubmitResult EngineModel::submit(const EngineJob &Job, Time Now) {
  if (this->Leaving)
    return SubmitResult::Leaving;
  if (this->memoryNeeded(Job) > this->Shape.MemoryTokens)
    return SubmitResult::NoMemory;
  if (this->Waiting.size() >= MaxWaiting)
    return SubmitResult::Busy;

  Task NewTask;
  NewTask.Job = Job;
  NewTask.Prefill =
      std::max<std::uint64_t>(1, Job.PromptTokens + Job.StartIndex);
  NewTask.NextIndex = Job.StartIndex;
  const auto Position =
      std::upper_bound(this->Waiting.begin(), this->Waiting.end(), Job.Priority,
                       [](std::uint32_t Priority, const Task &Other) {
                         return Priority > Other.Job.Priority;
                       });
  this->Waiting.insert(Position, std::move(NewTask));
  if (this->StepEnds == Never)
    this->startStep(Now);
  return SubmitResult::Accepted;
}

bool EngineModel::cancel(const AttemptId &Attempt, Time Now) {
  const auto Matches = [&Attempt](const Task &Current) {
    return Current.Job.Attempt == Attempt;
  };
  std::erase_if(this->Waiting, Matches);
  const auto Found =
      std::find_if(this->Batch.begin(), this->Batch.end(), Matches);
  if (Found == this->Batch.end())
    return true;
  this->removeTask(*Found, false, Now);
  this->Batch.erase(Found);
  return true;
}

Time EngineModel::nextStep() const { return this->StepEnds; }

std::vector<EngineModel::Output> EngineModel::advance(Time Now) {
  std::vector<Output> Out;
  while (this->StepEnds <= Now) {
    const Time Ended = this->StepEnds;
    this->finishStep(Ended, Out);
    this->startStep(Ended);
  }
  return Out;
}

LoadReport EngineModel::report(Time Now) const {
  LoadReport Report;
  Report.Id = this->Shape.Id;
  Report.Life = this->Shape.Life;
  Report.MeasuredAt = Now;
  Report.Leaving = this->Leaving;
  Report.Running = static_cast<std::uint32_t>(this->Batch.size());
  Report.Queued = static_cast<std::uint32_t>(this->Waiting.size());
  Report.MemoryTokens = this->Shape.MemoryTokens;
  Report.FreeMemoryTokens = this->Shape.MemoryTokens - this->HeldTokens;
  Report.PrefillTokensPerSecond = this->MeasuredPrefill;
  Report.DecodeTokensPerSecond = this->MeasuredDecode;
  Report.HighestFencing = this->HighestFencing;
  Report.Models = this->Shape.Models;
  for (const Task &Current : this->Waiting) {
    Report.QueuedPrefillTokens += Current.Prefill;
    addBacklog(Report.Backlog, Current.Job.Priority, Current.Prefill);
  }
  for (const Task &Current : this->Batch) {
    Report.QueuedPrefillTokens += Current.Prefill;
    if (Current.Prefill > 0)
      addBacklog(Report.Backlog, Current.Job.Priority, Current.Prefill);
    Report.Holds.push_back(streamHold(Current.Job, Current.Memory));
  }
  for (const auto &[Id, Memory] : this->Holds)
    Report.Holds.push_back({HoldKind::GroupHold, Id.Maker.Value, Id.Sequence,
                            Memory.Owner, Memory.Tokens, Memory.Deadline});
  return Report;
}

std::vector<CacheEvent> EngineModel::cacheEventsAfter(std::uint64_t Sequence,
                                                      Time Now) const {
  return this->Cache.eventsAfter(Sequence, Now - this->Shape.CacheEventLag);
}

bool EngineModel::takeHold(const HoldId &Hold, const std::string &Owner,
                           std::uint64_t Tokens, Time Deadline) {
  if (this->Holds.contains(Hold))
    return true;
  // An accepted job is not overtaken: it could wait for the memory of the hold
  // while the job that uses the hold waits behind it.
  const std::uint64_t Promised = this->HeldTokens + this->waitingTokens();
  if (this->Leaving || Promised + Tokens > this->Shape.MemoryTokens)
    return false;
  this->Holds[Hold] = {Owner, Tokens, Deadline};
  this->allocate(Tokens, this->StepBegan);
  return true;
}

void EngineModel::releaseHold(const HoldId &Hold) {
  const auto Found = this->Holds.find(Hold);
  if (Found == this->Holds.end())
    return;
  this->HeldTokens -= Found->second.Tokens;
  this->Holds.erase(Found);
}

OrderResult EngineModel::order(LogOffset Fencing, const OrderBody &Body) {
  if (this->Shape.ChecksFencing && Fencing < this->HighestFencing)
    return OrderResult::RefusedFencing;
  this->HighestFencing = std::max(this->HighestFencing, Fencing);
  std::vector<ModelId> &Models = this->Shape.Models;
  match(
      Body,
      [&Models](const LoadModel &Load) {
        if (std::find(Models.begin(), Models.end(), Load.Model) == Models.end())
          Models.push_back(Load.Model);
      },
      [&Models](const UnloadModel &Unload) {
        std::erase(Models, Unload.Model);
      },
      [](const ChangeRole &) {});
  return OrderResult::Accepted;
}

std::uint64_t EngineModel::memoryNeeded(const EngineJob &Job) const {
  for (const HoldId &Hold : Job.Holds)
    if (this->Holds.contains(Hold))
      return 0;
  const std::uint64_t TotalTokens = Job.PromptTokens + Job.OutputTokens;
  return Job.HasGroup ? std::min(TotalTokens, this->Shape.MemoryTokens / 2)
                      : TotalTokens;
}

std::uint64_t EngineModel::waitingTokens() const {
  std::uint64_t Result = 0;
  for (const Task &Current : this->Waiting)
    Result += this->memoryNeeded(Current.Job);
  return Result;
}

void EngineModel::allocate(std::uint64_t Tokens, Time Now) {
  this->HeldTokens += Tokens;
  this->Cache.shrinkTo(this->Shape.MemoryTokens - this->HeldTokens, Now);
}

void EngineModel::admitWaiting(Time Now) {
  while (!this->Waiting.empty() && this->Batch.size() < this->Shape.MaxBatch) {
    Task &First = this->Waiting.front();
    First.Memory = this->memoryNeeded(First.Job);
    // The first waiting job is not overtaken, or a large job could wait
    // forever.
    if (First.Memory > this->Shape.MemoryTokens - this->HeldTokens)
      return;
    const std::uint64_t Cached = this->Cache.cachedTokens(First.Job.Blocks);
    First.Prefill -= std::min(Cached, First.Prefill - 1);
    this->allocate(First.Memory, Now);
    this->Batch.push_back(std::move(First));
    this->Waiting.pop_front();
  }
}

void EngineModel::startStep(Time Now) {
  this->dropExpired(Now);
  this->admitWaiting(Now);
  this->StepBegan = Now;
  this->StepEnds = this->Batch.empty()
                       ? Never
                       : Now + std::max(this->planStep(), Duration(1));
}

Duration EngineModel::planStep() {
  std::uint64_t Decoding = 0;
  std::vector<Task *> Prefilling;
  for (Task &Current : this->Batch) {
    Current.StepPrefill = 0;
    Current.StepDecodes = Current.Prefill == 0;
    Decoding += Current.StepDecodes ? 1 : 0;
    if (!Current.StepDecodes)
      Prefilling.push_back(&Current);
  }
  std::stable_sort(Prefilling.begin(), Prefilling.end(),
                   [](const Task *Left, const Task *Right) {
                     return Left->Job.Priority > Right->Job.Priority;
                   });
  std::uint64_t RemainingTokens = this->Shape.PrefillChunkTokens;
  for (Task *Current : Prefilling) {
    Current->StepPrefill = std::min(RemainingTokens, Current->Prefill);
    RemainingTokens -= Current->StepPrefill;
  }
  const std::uint64_t Chunk = this->Shape.PrefillChunkTokens - RemainingTokens;
  Duration Length = fromSeconds(static_cast<double>(Chunk) /
                                this->Shape.PrefillTokensPerSecond);
  if (Decoding > 0)
    Length += this->Shape.StepBase + this->Shape.StepPerRequest * Decoding;
  return Length;
}

void EngineModel::finishStep(Time Now, std::vector<Output> &Out) {
  this->measureStep(Now - this->StepBegan);
  for (Task &Current : this->Batch) {
    Current.Prefill -= Current.StepPrefill;
    Current.PrefillDone += Current.StepPrefill;
    this->TotalPrefill += Current.StepPrefill;
    // The step that finishes the prefill also produces the first chunk.
    const bool ProducesChunk =
        Current.StepDecodes ||
        (Current.StepPrefill > 0 && Current.Prefill == 0);
    if (!ProducesChunk)
      continue;
    const std::uint64_t Index = Current.NextIndex++;
    const bool Ended = Current.NextIndex >= Current.Job.OutputTokens;
    Out.push_back({Current.Job.Attempt, Index, 1, Ended});
    if (Ended)
      this->removeTask(Current, true, Now);
  }
  std::erase_if(this->Batch, [](const Task &Current) {
    return Current.NextIndex >= Current.Job.OutputTokens &&
           Current.Prefill == 0;
  });
}

void EngineModel::measureStep(Duration Length) {
  std::uint64_t Chunk = 0;
  bool Decoded = false;
  for (const Task &Current : this->Batch) {
    Chunk += Current.StepPrefill;
    Decoded = Decoded || Current.StepDecodes;
  }
  const double Seconds = inSeconds(std::max(Length, Duration(1)));
  if (Chunk > 0)
    this->MeasuredPrefill =
        smoothed(this->MeasuredPrefill, static_cast<double>(Chunk) / Seconds);
  if (Decoded)
    this->MeasuredDecode = smoothed(this->MeasuredDecode, 1 / Seconds);
}

void EngineModel::dropExpired(Time Now) {
  const auto IsExpired = [Now](const Task &Current) {
    return Current.Job.Deadline != Time() && Current.Job.Deadline <= Now;
  };
  std::erase_if(this->Waiting, IsExpired);
  for (const Task &Current : this->Batch)
    if (IsExpired(Current))
      this->removeTask(Current, false, Now);
  std::erase_if(this->Batch, IsExpired);
}

void EngineModel::removeTask(const Task &Removed, bool Completed, Time Now) {
  this->HeldTokens -= Removed.Memory;
  if (!Completed)
    this->WastedPrefill += Removed.PrefillDone;
  const std::uint64_t PrefilledTokens =
      Removed.Job.PromptTokens -
      std::min(Removed.Prefill, Removed.Job.PromptTokens);
  const std::size_t FilledBlocks = std::min<std::size_t>(
      Removed.Job.Blocks.size(), PrefilledTokens / PromptBlockTokens);
  this->Cache.store(std::span(Removed.Job.Blocks).first(FilledBlocks), Now);
  this->Cache.shrinkTo(this->Shape.MemoryTokens - this->HeldTokens, Now);
}

} // namespace banyanpick
