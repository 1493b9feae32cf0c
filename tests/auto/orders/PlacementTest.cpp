/// \file
/// Guards against hosts that compute different placements from the same view,
/// and against a placement that never converges when its changes are applied.
#include <gtest/gtest.h>
// GoogleTest comes before its RapidCheck adapter.
#include <rapidcheck/gtest.h>

#include "fakes/FakeRequestTable.h"
#include "fakes/PluginViews.h"
#include "plugins/orders/Placement.h"

#include <algorithm>

namespace banyanpick {
namespace {

ModelId model(int Index) { return ModelId("m" + std::to_string(Index)); }

FakeCatalogueView anyCatalogue() {
  FakeCatalogueView Result;
  const int Models = *rc::gen::inRange(0, 6);
  for (int Index = 0; Index < Models; ++Index) {
    ModelEntry Entry;
    Entry.MinimumEngines = *rc::gen::inRange(0, 6);
    if (*rc::gen::arbitrary<bool>())
      Entry.MaximumEngines = Entry.MinimumEngines + *rc::gen::inRange(1, 4);
    Result.add(model(Index), Entry);
  }
  return Result;
}

FakeFleetView anyFleet() {
  FakeFleetView Result;
  const int Engines = *rc::gen::inRange(0, 12);
  for (int Index = 0; Index < Engines; ++Index) {
    Upstream &Added = Result.add("e" + std::to_string(Index));
    Added.State =
        *rc::gen::element(UpstreamState::Live, UpstreamState::Live,
                          UpstreamState::Leaving, UpstreamState::Dead);
    for (int Model = 0; Model < 6; ++Model)
      if (*rc::gen::inRange(0, 3) == 0)
        Added.Report.Models.push_back(model(Model));
  }
  return Result;
}

void applyChange(FakeFleetView &Fleet, const PlacementChange &Change) {
  for (Upstream &Engine : Fleet.Upstreams) {
    if (Engine.Listing.Id != Change.Engine)
      continue;
    if (Change.Load)
      Engine.Report.Models.push_back(Change.Model);
    else
      std::erase(Engine.Report.Models, Change.Model);
  }
}

RC_GTEST_PROP(PlacementTest, HostsThatSeeTheSameAgree, ()) {
  const FakeCatalogueView Declared = anyCatalogue();
  FakeFleetView Fleet = anyFleet();
  const auto First = placementChanges(Declared.catalogue(), Fleet);
  std::reverse(Fleet.Upstreams.begin(), Fleet.Upstreams.end());
  RC_ASSERT(placementChanges(Declared.catalogue(), Fleet) == First);
}

RC_GTEST_PROP(PlacementTest, ChangesAppliedInAnyOrderConverge, ()) {
  const FakeCatalogueView Declared = anyCatalogue();
  FakeFleetView Fleet = anyFleet();
  // Applies the needed changes one at a time in random order, since answers may
  // arrive in any order.
  for (int Step = 0; Step < 200; ++Step) {
    const auto Changes = placementChanges(Declared.catalogue(), Fleet);
    if (Changes.empty())
      break;
    const auto Next = *rc::gen::inRange<std::size_t>(0, Changes.size());
    applyChange(Fleet, Changes[Next]);
  }
  const auto Live = static_cast<std::size_t>(
      std::count_if(Fleet.Upstreams.begin(), Fleet.Upstreams.end(),
                    [](const Upstream &Engine) {
                      return Engine.State == UpstreamState::Live;
                    }));
  const auto Remaining = placementChanges(Declared.catalogue(), Fleet);
  RC_ASSERT(Remaining.empty());
  for (const auto &[Key, Item] : Declared.catalogue().entries()) {
    const auto &Entry = std::get<ModelEntry>(Item.Body);
    std::size_t LoadedEngines = 0;
    for (const Upstream &Engine : Fleet.Upstreams)
      LoadedEngines +=
          Engine.State == UpstreamState::Live &&
          std::count(Engine.Report.Models.begin(), Engine.Report.Models.end(),
                     ModelId(Key.Name)) > 0;
    RC_ASSERT(LoadedEngines >=
              std::min<std::size_t>(Entry.MinimumEngines, Live));
    RC_ASSERT(Entry.MaximumEngines == 0 ||
              LoadedEngines <= Entry.MaximumEngines);
  }
}

} // namespace
} // namespace banyanpick
