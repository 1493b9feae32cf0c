#include "fakes/EngineModel.h"

#include "base/Visitor.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Jobs that may wait before the engine says that it is busy.
constexpr std::size_t MaximumWaiting = 512;

/// Adds the task's prefill to the backlog of its priority.
void addBacklog(std::vector<PriorityBacklog> &Backlog, std::uint32_t Priority,
                std::uint64_t Tokens) {
  for (PriorityBacklog &Each : Backlog) {
    if (Each.Priority != Priority)
      continue;
    Each.PrefillTokens += Tokens;
    return;
  }
  Backlog.push_back({Priority, Tokens});
}

/// Weight of the newest step in the measured speeds.
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

EngineModel::EngineModel(EngineShape ShapeGiven)
    : Shape(std::move(ShapeGiven)),
      MeasuredPrefill(this->Shape.PrefillTokensPerSecond),
      MeasuredDecode(
          1 / inSeconds(this->Shape.StepBase + this->Shape.StepPerRequest)) {}

EngineModel::Submitted EngineModel::submit(const EngineJob &Job, Time Now) {
  if (this->Leaving)
    return Submitted::Leaving;
  if (this->memoryNeeded(Job) > this->Shape.MemoryTokens)
    return Submitted::NoMemory;
  if (this->Waiting.size() >= MaximumWaiting)
    return Submitted::Busy;

  Task New;
  New.Job = Job;
  New.Prefill = std::max<std::uint64_t>(1, Job.PromptTokens + Job.StartIndex);
  New.NextIndex = Job.StartIndex;
  const auto Place =
      std::upper_bound(this->Waiting.begin(), this->Waiting.end(), Job.Priority,
                       [](std::uint32_t Priority, const Task &Other) {
                         return Priority > Other.Job.Priority;
                       });
  this->Waiting.insert(Place, std::move(New));
  if (this->StepEnds == Never)
    this->startStep(Now);
  return Submitted::Accepted;
}

bool EngineModel::cancel(const AttemptId &Attempt, Time Now) {
  const auto IsIt = [&Attempt](const Task &Each) {
    return Each.Job.Attempt == Attempt;
  };
  std::erase_if(this->Waiting, IsIt);
  const auto Found = std::find_if(this->Batch.begin(), this->Batch.end(), IsIt);
  if (Found == this->Batch.end())
    return true;
  this->leave(*Found, false, Now);
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
  Report.FreeMemoryTokens = this->Shape.MemoryTokens - this->Held;
  Report.PrefillTokensPerSecond = this->MeasuredPrefill;
  Report.DecodeTokensPerSecond = this->MeasuredDecode;
  Report.HighestFencing = this->HighestFencing;
  Report.Models = this->Shape.Models;
  for (const Task &Each : this->Waiting) {
    Report.QueuedPrefillTokens += Each.Prefill;
    addBacklog(Report.Backlog, Each.Job.Priority, Each.Prefill);
  }
  for (const Task &Each : this->Batch) {
    Report.QueuedPrefillTokens += Each.Prefill;
    if (Each.Prefill > 0)
      addBacklog(Report.Backlog, Each.Job.Priority, Each.Prefill);
    Report.Holds.push_back(streamHold(Each.Job, Each.Memory));
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
  if (this->Leaving || Tokens > this->Shape.MemoryTokens - this->Held)
    return false;
  this->Holds[Hold] = {Owner, Tokens, Deadline};
  this->take(Tokens, this->StepBegan);
  return true;
}

void EngineModel::releaseHold(const HoldId &Hold) {
  const auto Found = this->Holds.find(Hold);
  if (Found == this->Holds.end())
    return;
  this->Held -= Found->second.Tokens;
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
  for (const HoldId &Each : Job.Holds)
    if (this->Holds.contains(Each))
      return 0;
  const std::uint64_t Whole = Job.PromptTokens + Job.OutputTokens;
  return Job.HasGroup ? std::min(Whole, this->Shape.MemoryTokens / 2) : Whole;
}

void EngineModel::take(std::uint64_t Tokens, Time Now) {
  this->Held += Tokens;
  this->Cache.shrinkTo(this->Shape.MemoryTokens - this->Held, Now);
}

void EngineModel::admitWaiting(Time Now) {
  while (!this->Waiting.empty() &&
         this->Batch.size() < this->Shape.MaximumBatch) {
    Task &First = this->Waiting.front();
    First.Memory = this->memoryNeeded(First.Job);
    // The first in line is not overtaken, or a large job would never fit.
    if (First.Memory > this->Shape.MemoryTokens - this->Held)
      return;
    const std::uint64_t Cached = this->Cache.cachedTokens(First.Job.Blocks);
    First.Prefill -= std::min(Cached, First.Prefill - 1);
    this->take(First.Memory, Now);
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
  for (Task &Each : this->Batch) {
    Each.StepPrefill = 0;
    Each.StepDecodes = Each.Prefill == 0;
    Decoding += Each.StepDecodes ? 1 : 0;
    if (!Each.StepDecodes)
      Prefilling.push_back(&Each);
  }
  std::stable_sort(Prefilling.begin(), Prefilling.end(),
                   [](const Task *Left, const Task *Right) {
                     return Left->Job.Priority > Right->Job.Priority;
                   });
  std::uint64_t Left = this->Shape.PrefillChunkTokens;
  for (Task *Each : Prefilling) {
    Each->StepPrefill = std::min(Left, Each->Prefill);
    Left -= Each->StepPrefill;
  }
  const std::uint64_t Chunk = this->Shape.PrefillChunkTokens - Left;
  Duration Length = fromSeconds(static_cast<double>(Chunk) /
                                this->Shape.PrefillTokensPerSecond);
  if (Decoding > 0)
    Length += this->Shape.StepBase + this->Shape.StepPerRequest * Decoding;
  return Length;
}

void EngineModel::finishStep(Time Now, std::vector<Output> &Out) {
  this->measureStep(Now - this->StepBegan);
  for (Task &Each : this->Batch) {
    Each.Prefill -= Each.StepPrefill;
    Each.PrefillDone += Each.StepPrefill;
    this->Prefilled += Each.StepPrefill;
    // The step that ends the prefill gives the first chunk.
    const bool Gives =
        Each.StepDecodes || (Each.StepPrefill > 0 && Each.Prefill == 0);
    if (!Gives)
      continue;
    const std::uint64_t Index = Each.NextIndex++;
    const bool Ended = Each.NextIndex >= Each.Job.OutputTokens;
    Out.push_back({Each.Job.Attempt, Index, 1, Ended});
    if (Ended)
      this->leave(Each, true, Now);
  }
  std::erase_if(this->Batch, [](const Task &Each) {
    return Each.NextIndex >= Each.Job.OutputTokens && Each.Prefill == 0;
  });
}

void EngineModel::measureStep(Duration Length) {
  std::uint64_t Chunk = 0;
  bool Decoded = false;
  for (const Task &Each : this->Batch) {
    Chunk += Each.StepPrefill;
    Decoded = Decoded || Each.StepDecodes;
  }
  const double Seconds = inSeconds(std::max(Length, Duration(1)));
  if (Chunk > 0)
    this->MeasuredPrefill =
        smoothed(this->MeasuredPrefill, static_cast<double>(Chunk) / Seconds);
  if (Decoded)
    this->MeasuredDecode = smoothed(this->MeasuredDecode, 1 / Seconds);
}

void EngineModel::dropExpired(Time Now) {
  const auto IsExpired = [Now](const Task &Each) {
    return Each.Job.Deadline != Time() && Each.Job.Deadline <= Now;
  };
  std::erase_if(this->Waiting, IsExpired);
  for (const Task &Each : this->Batch)
    if (IsExpired(Each))
      this->leave(Each, false, Now);
  std::erase_if(this->Batch, IsExpired);
}

void EngineModel::leave(const Task &Gone, bool Whole, Time Now) {
  this->Held -= Gone.Memory;
  if (!Whole)
    this->Wasted += Gone.PrefillDone;
  const std::uint64_t Known =
      Gone.Job.PromptTokens - std::min(Gone.Prefill, Gone.Job.PromptTokens);
  const std::size_t Filled =
      std::min<std::size_t>(Gone.Job.Blocks.size(), Known / PromptBlockTokens);
  this->Cache.store(std::span(Gone.Job.Blocks).first(Filled), Now);
  this->Cache.shrinkTo(this->Shape.MemoryTokens - this->Held, Now);
}

} // namespace banyanpick
