/// \file
/// Checks on how many hosts a log offset is in force.
#pragma once

#include "kernel/Operator.h"

#include <string>
#include <vector>

namespace banyanpick::tools {

/// Counts the reporting host and the other hosts in its report. Alive and
/// suspect hosts are counted; dead and leaving ones are not.
class InForceCheck {
public:
  InForceCheck(const StatusReport &Report, LogOffset Offset);

  bool isInForceEverywhere() const { return this->Behind.empty(); }
  std::size_t hostsInForce() const { return this->InForce; }
  std::size_t liveHosts() const { return this->InForce + this->Behind.size(); }
  /// The hosts where the offset is not in force, each with its state and
  /// offset.
  const std::vector<std::string> &hostsBehind() const { return this->Behind; }

private:
  std::size_t InForce = 0;
  std::vector<std::string> Behind;
};

} // namespace banyanpick::tools
