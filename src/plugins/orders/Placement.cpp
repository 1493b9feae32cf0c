#include "plugins/orders/Placement.h"

#include "base/RendezvousHash.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Candidates named in the log line of a decision.
constexpr std::size_t MaxLoggedCandidates = 5;

struct Candidate {
  std::size_t Models = 0; ///< Loaded, and planned by earlier models.
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
  for (const Candidate &Each :
       Candidates.first(std::min(Candidates.size(), MaxLoggedCandidates)))
    Result.push_back(Each.Engine);
  return Result;
}

/// Places one model after the other, in the order of their names.
class PlacementPlanner {
public:
  explicit PlacementPlanner(const FleetView &Fleet) {
    for (const Upstream &Each : Fleet.upstreams())
      if (Each.Listing.Kind == UpstreamKind::Engine &&
          Each.State == UpstreamState::Live)
        this->Engines.push_back({&Each, Each.Report.Models.size()});
  }

  void place(const ModelId &Model, const ModelEntry &Declared) {
    std::vector<Candidate> Loaded;
    std::vector<Candidate> NotLoaded;
    for (const Engine &Each : this->Engines) {
      const UpstreamId &Name = Each.Info->Listing.Id;
      const bool IsLoaded =
          std::ranges::count(Each.Info->Report.Models, Model) > 0;
      (IsLoaded ? Loaded : NotLoaded)
          .push_back(
              {Each.Models, rendezvousWeight(Model.Value, Name.Value), Name});
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
    // Those with the most models and the least weight give it up.
    std::ranges::sort(Candidates,
                      [](const Candidate &First, const Candidate &Second) {
                        return isBetter(Second, First);
                      });
    const std::vector<UpstreamId> Logged = loggedCandidates(Candidates);
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->addChange({Candidates[Index].Engine, Model, false, Logged});
  }
  void addChange(PlacementChange Change) {
    for (Engine &Each : this->Engines)
      if (Each.Info->Listing.Id == Change.Engine)
        Each.Models += Change.Load ? 1 : 0;
    this->Changes.push_back(std::move(Change));
  }

  std::vector<Engine> Engines;
  std::vector<PlacementChange> Changes;
};

} // namespace

std::vector<PlacementChange> placementChanges(const Catalogue &Declared,
                                              const FleetView &Fleet) {
  PlacementPlanner Planner(Fleet);
  for (const auto &[Key, Each] : Declared.entries())
    if (const auto *Model = std::get_if<ModelEntry>(&Each.Body))
      Planner.place(ModelId(Key.Name), *Model);
  return Planner.takeChanges();
}

} // namespace banyanpick
