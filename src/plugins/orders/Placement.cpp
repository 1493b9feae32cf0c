#include "plugins/orders/Placement.h"

#include "base/RendezvousHash.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Number of candidates named in the log line of a decision.
constexpr std::size_t MaxLoggedCandidates = 5;

struct Candidate {
  std::size_t Models = 0; ///< Loaded models, plus those planned in this pass.
  std::uint64_t Weight = 0;
  UpstreamId Engine;
};

bool isBetter(const Candidate &First, const Candidate &Second) {
  if (First.Models != Second.Models)
    return First.Models < Second.Models;
  if (First.Weight != Second.Weight)
    return First.Weight > Second.Weight;
  return First.Engine < Second.Engine;
}

std::vector<UpstreamId>
loggedCandidates(std::span<const Candidate> Candidates) {
  std::vector<UpstreamId> Result;
  for (const Candidate &Item :
       Candidates.first(std::min(Candidates.size(), MaxLoggedCandidates)))
    Result.push_back(Item.Engine);
  return Result;
}

/// Places the models one after the other, ordered by name.
class PlacementPlanner {
public:
  explicit PlacementPlanner(const FleetView &Fleet) {
    for (const Upstream &Item : Fleet.upstreams())
      if (Item.Listing.Kind == UpstreamKind::Engine &&
          Item.State == UpstreamState::Live)
        this->Engines.push_back({&Item, Item.Report.Models.size()});
  }

  void place(const ModelId &Model, const ModelEntry &Declared) {
    std::vector<Candidate> Loaded;
    std::vector<Candidate> NotLoaded;
    for (const Engine &Item : this->Engines) {
      const UpstreamId &Name = Item.Info->Listing.Id;
      const bool IsLoaded =
          std::ranges::count(Item.Info->Report.Models, Model) > 0;
      (IsLoaded ? Loaded : NotLoaded)
          .push_back(
              {Item.Models, rendezvousWeight(Model.Value, Name.Value), Name});
    }
    if (Loaded.size() < Declared.MinimumEngines)
      this->load(Model, Declared.MinimumEngines - Loaded.size(), NotLoaded);
    else if (Declared.MaximumEngines != 0 &&
             Loaded.size() > Declared.MaximumEngines)
      this->unload(Model, Loaded.size() - Declared.MaximumEngines, Loaded);
  }

  std::vector<PlacementChange> takeChanges() {
    return std::move(this->Changes);
  }

private:
  struct Engine {
    const Upstream *Info = nullptr;
    std::size_t Models = 0;
  };

  void load(const ModelId &Model, std::size_t Count,
            std::vector<Candidate> &Candidates) {
    std::ranges::sort(Candidates, isBetter);
    const std::vector<UpstreamId> Logged = loggedCandidates(Candidates);
    for (std::size_t Index = 0; Index < std::min(Count, Candidates.size());
         ++Index)
      this->addChange({Candidates[Index].Engine, Model, true, Logged});
  }
  void unload(const ModelId &Model, std::size_t Count,
              std::vector<Candidate> &Candidates) {
    // Engines with the most models and the lowest weight unload first.
    std::ranges::sort(Candidates,
                      [](const Candidate &First, const Candidate &Second) {
                        return isBetter(Second, First);
                      });
    const std::vector<UpstreamId> Logged = loggedCandidates(Candidates);
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->addChange({Candidates[Index].Engine, Model, false, Logged});
  }
  void addChange(PlacementChange Change) {
    for (Engine &Item : this->Engines)
      if (Item.Info->Listing.Id == Change.Engine)
        Item.Models += Change.Load ? 1 : 0;
    this->Changes.push_back(std::move(Change));
  }

  std::vector<Engine> Engines;
  std::vector<PlacementChange> Changes;
};

} // namespace

std::vector<PlacementChange> placementChanges(const Catalogue &Declared,
                                              const FleetView &Fleet) {
  PlacementPlanner Planner(Fleet);
  for (const auto &[Key, Item] : Declared.entries())
    if (const auto *Model = std::get_if<ModelEntry>(&Item.Body))
      Planner.place(ModelId(Key.Name), *Model);
  return Planner.takeChanges();
}

} // namespace banyanpick
