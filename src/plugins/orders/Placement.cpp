#include "plugins/orders/Placement.h"

#include "base/RendezvousHash.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Candidates named in the log line of a decision.
constexpr std::size_t MostCandidatesNamed = 5;

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

std::vector<UpstreamId> names(std::span<const Candidate> Of) {
  std::vector<UpstreamId> Result;
  for (const Candidate &Each :
       Of.first(std::min(Of.size(), MostCandidatesNamed)))
    Result.push_back(Each.Engine);
  return Result;
}

/// Places one model after the other, in the order of their names.
class Placing {
public:
  explicit Placing(const FleetView &Fleet) {
    for (const Upstream &Each : Fleet.upstreams())
      if (Each.Listing.Kind == UpstreamKind::Engine &&
          Each.State == UpstreamState::Live)
        this->Engines.push_back({&Each, Each.Report.Models.size()});
  }

  void place(const ModelId &Model, const ModelEntry &Declared) {
    std::vector<Candidate> With;
    std::vector<Candidate> Without;
    for (const Engine &Each : this->Engines) {
      const UpstreamId &Name = Each.Known->Listing.Id;
      const bool Has = std::ranges::count(Each.Known->Report.Models, Model) > 0;
      (Has ? With : Without)
          .push_back(
              {Each.Models, rendezvousWeight(Model.Value, Name.Value), Name});
    }
    if (With.size() < Declared.MinimumEngines)
      this->load(Model, Declared.MinimumEngines - With.size(), Without);
    else if (Declared.MaximumEngines != 0 &&
             With.size() > Declared.MaximumEngines)
      this->unload(Model, With.size() - Declared.MaximumEngines, With);
  }

  std::vector<PlacementChange> take() { return std::move(this->Changes); }

private:
  struct Engine {
    const Upstream *Known = nullptr;
    std::size_t Models = 0;
  };

  void load(const ModelId &Model, std::size_t Count,
            std::vector<Candidate> &Among) {
    std::ranges::sort(Among, isBetter);
    const std::vector<UpstreamId> Named = names(Among);
    for (std::size_t Index = 0; Index < std::min(Count, Among.size()); ++Index)
      this->change({Among[Index].Engine, Model, true, Named});
  }
  void unload(const ModelId &Model, std::size_t Count,
              std::vector<Candidate> &Among) {
    // Those with the most models and the least weight give it up.
    std::ranges::sort(Among,
                      [](const Candidate &First, const Candidate &Second) {
                        return isBetter(Second, First);
                      });
    const std::vector<UpstreamId> Named = names(Among);
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->change({Among[Index].Engine, Model, false, Named});
  }
  void change(PlacementChange Wanted) {
    for (Engine &Each : this->Engines)
      if (Each.Known->Listing.Id == Wanted.Engine)
        Each.Models += Wanted.Load ? 1 : 0;
    this->Changes.push_back(std::move(Wanted));
  }

  std::vector<Engine> Engines;
  std::vector<PlacementChange> Changes;
};

} // namespace

std::vector<PlacementChange> placementChanges(const Catalogue &Declared,
                                              const FleetView &Fleet) {
  Placing Work(Fleet);
  for (const auto &[Key, Each] : Declared.entries())
    if (const auto *Model = std::get_if<ModelEntry>(&Each.Body))
      Work.place(ModelId(Key.Name), *Model);
  return Work.take();
}

} // namespace banyanpick
