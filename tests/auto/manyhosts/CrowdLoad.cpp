#include "auto/manyhosts/CrowdLoad.h"

#include <algorithm>
#include <cstdlib>

namespace banyanpick {

std::size_t countFrom(std::span<const HostCrowd::Arrival> Arrivals, Time From) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Arrivals, [&](const HostCrowd::Arrival &Each) {
        return Each.At >= From;
      }));
}

std::size_t lostOf(const HostCrowd::Tally &Tally) {
  std::size_t Sum = 0;
  for (const auto &[Host, Count] : Tally.Lost)
    Sum += Count;
  return Sum;
}

std::size_t offer(HostCrowd &Crowd, Duration For, Duration Between) {
  std::size_t Asked = 0;
  while (Asked + 1 < Crowd.size() && !Crowd.lives(Asked))
    ++Asked;
  std::vector<std::size_t> Active;
  if (Crowd.lives(Asked))
    Active = Crowd.named(Asked);
  if (Active.empty())
    Active = {Asked};
  const Time Until = Crowd.now() + For;
  std::size_t Count = 0;
  for (; Crowd.now() < Until; ++Count) {
    const std::size_t Host = Active[Count % Active.size()];
    if (Crowd.lives(Host))
      Crowd.arrive(Host, milliseconds(600 + Count % 17 * 50));
    Crowd.run(Between);
  }
  return Count;
}

void mendAll(HostCrowd &Crowd) {
  for (std::size_t Host = 0; Host < Crowd.size(); ++Host) {
    Crowd.setApart(Host, false);
    if (!Crowd.lives(Host))
      Crowd.revive(Host);
  }
}

std::uint64_t seedCount() {
  const char *Given = std::getenv("BANYANPICK_SEEDS");
  return Given ? std::strtoull(Given, nullptr, 10) : 20;
}

} // namespace banyanpick
