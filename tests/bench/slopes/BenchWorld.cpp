#include "BenchWorld.h"

#include "harness/TestCatalogue.h"

#include <fmt/format.h>

namespace banyanpick {

namespace {

constexpr std::uint32_t ZonesPerRegion = 3;

std::string modelName(std::uint32_t Number) {
  return Number == 0 ? std::string(TestModel) : fmt::format("model-{}", Number);
}

std::string zoneOf(std::uint32_t Number) {
  return fmt::format("zone-{}", Number % ZonesPerRegion);
}

} // namespace

std::string teamName(std::uint32_t Number) {
  return fmt::format("team-{:05}", Number);
}

std::vector<Change> catalogueOf(const DeploymentSize &Size) {
  std::vector<std::string> Teams;
  for (std::uint32_t Number = 0; Number < Size.Teams; ++Number)
    Teams.push_back(teamName(Number));
  std::vector<Change> All = testCatalogue(Teams, 0);
  for (std::uint32_t Number = 1; Number < Size.Models; ++Number)
    All.push_back(declared(EntryKind::Model, modelName(Number),
                           ModelEntry{"w", 1'000'000, 0, 0}));
  return All;
}

std::unique_ptr<VirtualDeployment> makeDeployment(const DeploymentSize &Size) {
  DeploymentOptions Options;
  Options.CheckEveryEvent = false;
  auto Deployed = std::make_unique<VirtualDeployment>(Options);
  for (std::uint32_t Number = 0; Number < Size.Engines; ++Number) {
    EngineShape Shape;
    Shape.Id = UpstreamId(fmt::format("engine-{:04}", Number));
    Shape.Models = {ModelId(modelName(Number % Size.Models))};
    Deployed->addEngine(Shape, zoneOf(Number));
  }
  Deployed->seedCatalogue(catalogueOf(Size));
  for (std::uint32_t Number = 0; Number < Size.Hosts; ++Number)
    Deployed->addHost(fmt::format("host-{:03}", Number), zoneOf(Number));
  Deployed->runFor(seconds(5));
  return Deployed;
}

Kernel &firstKernel(VirtualDeployment &Deployed) {
  return Deployed.hosts().begin()->second->kernel();
}

} // namespace banyanpick
