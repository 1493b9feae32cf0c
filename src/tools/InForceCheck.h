/// \file
/// On how many hosts an offset is in force.
#pragma once

#include "kernel/Operator.h"

#include <string>
#include <vector>

namespace banyanpick::tools {

/// Counts the host that reported and the others that it hears of. Hosts that
/// are dead or leaving are not counted; suspect ones are.
class InForceCheck {
public:
  InForceCheck(const StatusReport &Report, LogOffset Offset);

  bool isInForceEverywhere() const { return this->Behind.empty(); }
  std::size_t hostsInForce() const { return this->InForce; }
  std::size_t liveHosts() const { return this->InForce + this->Behind.size(); }
  /// Names of the hosts where it is not in force, with what they are at.
  const std::vector<std::string> &hostsBehind() const { return this->Behind; }

private:
  std::size_t InForce = 0;
  std::vector<std::string> Behind;
};

} // namespace banyanpick::tools
