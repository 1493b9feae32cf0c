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
  std::vector<HostStatus> Hosts = Report.Hosts;
  std::erase_if(
      Hosts, [&](const HostStatus &Host) { return Host.Host == Report.Host; });
  Hosts.insert(Hosts.begin(),
               {Report.Host,
                ZoneId(),
                Report.Leaving ? MemberState::Leaving : MemberState::Alive,
                Report.Ready,
                Report.InForce,
                {}});
  for (const HostStatus &Host : Hosts) {
    if (!isCounted(Host))
      continue;
    if (Host.InForce >= Offset)
      ++this->InForce;
    else
      this->Behind.push_back(fmt::format("{} ({}, at offset {})",
                                         Host.Host.Value, name(Host.State),
                                         Host.InForce));
  }
}

} // namespace banyanpick::tools
