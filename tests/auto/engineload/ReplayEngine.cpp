#include "auto/engineload/ReplayEngine.h"

#include "base/Milliseconds.h"
#include "plugins/engineload/PrefillCost.h"

#include <algorithm>

namespace banyanpick {

void ReplayEngine::add(const Prefill &Work) {
  const auto Order = [](const Prefill &Item) {
    return std::pair(!Item.IsHelper, Item.IsHelper ? 0 : Item.Urgency);
  };
  const auto Place =
      std::ranges::find_if(this->Prefills, [&](const Task &Item) {
        return !Item.Admitted && Order(Work) < Order(Item.Work);
      });
  this->Prefills.insert(Place, {Work, Work.PartMs});
}

void ReplayEngine::startDecoding(Attempt Id) {
  const auto Found = std::ranges::find(
      this->Prepared, Id, [](const Task &Item) { return Item.Work.Id; });
  if (Found == this->Prepared.end())
    return;
  this->Decoding.push_back(*Found);
  this->Prepared.erase(Found);
}

void ReplayEngine::cancel(Attempt Id) {
  for (std::vector<Task> *Tasks :
       {&this->Prefills, &this->Prepared, &this->Decoding})
    std::erase_if(*Tasks, [&](const Task &Item) { return Item.Work.Id == Id; });
  this->Reserved.erase(Id);
}

bool ReplayEngine::reserve(Attempt Id, std::uint64_t Tokens) {
  if (this->usedTokens() + Tokens > this->Model.MemoryTokens)
    return false;
  this->Reserved[Id] = Tokens;
  return true;
}

void ReplayEngine::clear() {
  this->Prefills.clear();
  this->Prepared.clear();
  this->Decoding.clear();
  this->Reserved.clear();
}

std::uint64_t ReplayEngine::usedTokens() const {
  std::uint64_t Sum = 0;
  for (const auto &[Id, Tokens] : this->Reserved)
    Sum += Tokens;
  for (const std::vector<Task> *Tasks :
       {&this->Prefills, &this->Prepared, &this->Decoding})
    for (const Task &Item : *Tasks)
      if (Item.Admitted && !Item.Work.IsHelper && !Item.Work.HasReserved)
        Sum += Item.Work.PromptTokens + Item.Done;
  return Sum;
}

void ReplayEngine::admit() {
  std::size_t Slots = this->Prepared.size() + this->Decoding.size();
  for (const Task &Item : this->Prefills)
    Slots += Item.Admitted && !Item.Work.IsHelper ? 1 : 0;
  std::uint64_t Used = this->usedTokens();
  for (Task &Item : this->Prefills) {
    if (Item.Admitted)
      continue;
    const std::uint64_t Tokens = Item.Work.IsHelper || Item.Work.HasReserved
                                     ? 0
                                     : Item.Work.PromptTokens;
    const bool Fits =
        Item.Work.IsHelper || (Slots < this->Model.Slots &&
                               Used + Tokens <= this->Model.MemoryTokens);
    // A prompt that does not fit is not overtaken.
    if (!Fits)
      return;
    Item.Admitted = true;
    Slots += Item.Work.IsHelper ? 0 : 1;
    Used += Tokens;
  }
}

Duration ReplayEngine::startPass() {
  this->admit();
  std::uint64_t Context = 0;
  this->InCurrentPass.clear();
  for (const Task &Item : this->Decoding) {
    this->InCurrentPass.push_back(Item.Work.Id);
    Context += Item.Work.PromptTokens + Item.Done;
  }
  const auto Count = static_cast<std::uint32_t>(this->Decoding.size());
  double Ms = decodePassMs(this->Model, Count, Context);
  double StepsLeft = Count > 0 ? this->Model.StepsPerPass : 1;
  for (Task &Item : this->Prefills) {
    if (!Item.Admitted || StepsLeft <= 0)
      continue;
    // The pairs make the tokens of a long prompt dearer; the mean is used.
    const double ChunkMs = Item.Work.WholeMs /
                           static_cast<double>(Item.Work.PromptTokens) *
                           static_cast<double>(this->Model.ChunkTokens);
    const double TakenMs = std::min(Item.LeftMs, StepsLeft * ChunkMs);
    Item.LeftMs -= TakenMs;
    StepsLeft -= TakenMs / ChunkMs;
    Ms += TakenMs;
  }
  this->InPass = Ms > 0;
  return fromMilliseconds(Ms);
}

void ReplayEngine::preemptNewest() {
  Task Newest = this->Decoding.back();
  this->Decoding.pop_back();
  Newest.Admitted = false;
  Newest.LeftMs = Newest.Work.WholeMs;
  this->Prefills.push_back(Newest);
}

ReplayEngine::PassResult ReplayEngine::finishPass() {
  this->InPass = false;
  PassResult Result;
  for (Task &Item : this->Decoding) {
    if (!std::ranges::count(this->InCurrentPass, Item.Work.Id))
      continue;
    Item.Done += this->Model.StepsPerPass;
    Result.Events.push_back(Item.Work.Id);
    if (Item.Done >= Item.Work.OutputTokens)
      Result.Ended.push_back(Item.Work.Id);
  }
  std::erase_if(this->Decoding, [](const Task &Item) {
    return Item.Done >= Item.Work.OutputTokens;
  });
  for (const Attempt Id : Result.Ended)
    this->Reserved.erase(Id);
  while (this->Decoding.size() > 1 &&
         this->usedTokens() > this->Model.MemoryTokens)
    this->preemptNewest();
  for (auto Item = this->Prefills.begin(); Item != this->Prefills.end();) {
    if (!Item->Admitted || Item->LeftMs > 0) {
      ++Item;
      continue;
    }
    Result.PartsDone.push_back(Item->Work.Id);
    if (!Item->Work.IsHelper)
      this->Prepared.push_back(*Item);
    Item = this->Prefills.erase(Item);
  }
  return Result;
}

} // namespace banyanpick
