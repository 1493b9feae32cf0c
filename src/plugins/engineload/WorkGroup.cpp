#include "plugins/engineload/WorkGroup.h"

#include <algorithm>

namespace banyanpick {

WorkGroup::WorkGroup(const HostId &Self, std::span<const HostId> Others,
                     std::size_t Engines, const GroupSize &Least)
    : Before(static_cast<std::size_t>(std::ranges::lower_bound(Others, Self) -
                                      Others.begin())) {
  const std::size_t ByHosts =
      (Others.size() + 1) / std::max<std::size_t>(Least.Hosts, 1);
  const std::size_t ByEngines =
      Engines / std::max<std::size_t>(Least.Engines, 1);
  this->Groups = std::max<std::size_t>(std::min(ByHosts, ByEngines), 1);
  this->Own = this->Before % this->Groups;
}

} // namespace banyanpick
