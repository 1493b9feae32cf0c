/// \file
/// Tracks what a host hears of configurations that are newer than its own.
#pragma once

#include "base/Time.h"
#include "kernel/GatewayServices.h"

#include <cstdint>
#include <map>

namespace banyanpick {

/// The newer versions that peers have in force and this host lacks, and the
/// time of the newest report on the version in force. Answers for hosts that
/// run late or miss reports: how long they may have been behind.
class ConfigurationNews {
public:
  /// A peer or the store reported at \p At which version is in force.
  void noteReport(Time At) {
    this->ReportedAt = std::max(this->ReportedAt, At);
  }
  /// A version that this host lacks was in force elsewhere at \p Since.
  void noteNewer(std::uint64_t Version, Time Since);
  /// Versions up to \p Version are no longer missing here.
  void forgetUpTo(std::uint64_t Version);
  void forgetAll() { this->InForceSince.clear(); }
  /// Whether the oldest missing version has been in force for \p Limit.
  bool isOlderThan(Duration Limit, Time Now) const;
  ConfigurationFreshness freshness(Time Now) const;

private:
  /// By version: when it was first known to be in force elsewhere.
  std::map<std::uint64_t, Time> InForceSince;
  Time ReportedAt{}; ///< Zero: no report since the start.
};

} // namespace banyanpick
