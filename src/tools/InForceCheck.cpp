#include "tools/InForceCheck.h"

#include "operators/OperatorJson.h"

#include <fmt/format.h>

namespace banyanpick::tools {

namespace {

bool isCounted(const HostStatus &Host) {
  return Host.State == MemberState::Alive || Host.State == MemberState::Suspect;
}

} // namespace

InForceCheck::InForceCheck(const StatusReport &Report, LogOffset Offset) {
  std::vector<HostStatus> All = Report.Hosts;
  std::erase_if(
      All, [&](const HostStatus &Each) { return Each.Host == Report.Host; });
  All.insert(All.begin(),
             {Report.Host,
              ZoneId(),
              Report.Leaving ? MemberState::Leaving : MemberState::Alive,
              Report.Ready,
              Report.InForce,
              {}});
  for (const HostStatus &Each : All) {
    if (!isCounted(Each))
      continue;
    if (Each.InForce >= Offset)
      ++this->InForce;
    else
      this->Behind.push_back(fmt::format("{} ({}, at offset {})",
                                         Each.Host.Value, name(Each.State),
                                         Each.InForce));
  }
}

} // namespace banyanpick::tools
