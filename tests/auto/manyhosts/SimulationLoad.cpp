#include "auto/manyhosts/SimulationLoad.h"

#include <algorithm>
#include <cstdlib>
#include <numeric>

namespace banyanpick {

std::size_t countSince(std::span<const HostSimulation::Arrival> Arrivals,
                       Time From) {
  return static_cast<std::size_t>(std::ranges::count_if(
      Arrivals, [&](const HostSimulation::Arrival &Arrival) {
        return Arrival.At >= From;
      }));
}

std::size_t lostRequests(const HostSimulation::Tally &Tally) {
  std::size_t Sum = 0;
  for (const auto &[Host, Count] : Tally.Lost)
    Sum += Count;
  return Sum;
}

std::size_t offerLoad(HostSimulation &Simulation, Duration For,
                      Duration RequestInterval) {
  std::size_t FirstRunning = 0;
  while (FirstRunning + 1 < Simulation.size() &&
         !Simulation.isRunning(FirstRunning))
    ++FirstRunning;
  std::vector<std::size_t> Active;
  if (Simulation.isRunning(FirstRunning))
    Active = Simulation.resolvedHosts(FirstRunning);
  if (Active.empty())
    Active = {FirstRunning};
  const Time Until = Simulation.now() + For;
  std::size_t Count = 0;
  for (; Simulation.now() < Until; ++Count) {
    const std::size_t Host = Active[Count % Active.size()];
    if (Simulation.isRunning(Host))
      Simulation.sendRequest(Host, milliseconds(600 + Count % 17 * 50));
    Simulation.run(RequestInterval);
  }
  return Count;
}

void restartAllUnderLoad(HostSimulation &Simulation, Duration RequestInterval) {
  std::vector<std::size_t> All(Simulation.size());
  std::iota(All.begin(), All.end(), 0U);
  Simulation.killAll(HostSimulation::OrphanedWork::Dropped, All);
  offerLoad(Simulation, milliseconds(500), RequestInterval);
  Simulation.restartAll();
  Simulation.run(milliseconds(500));
}

void restoreAll(HostSimulation &Simulation) {
  for (std::size_t Host = 0; Host < Simulation.size(); ++Host) {
    Simulation.setPartitioned(Host, false);
    if (!Simulation.isRunning(Host))
      Simulation.restart(Host);
  }
}

std::uint64_t seedCount() {
  const char *SeedsText = std::getenv("BANYANPICK_SEEDS");
  return SeedsText ? std::strtoull(SeedsText, nullptr, 10) : 20;
}

} // namespace banyanpick
