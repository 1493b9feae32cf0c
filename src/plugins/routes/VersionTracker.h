/// \file
/// Tracks which versions of the configuration are in force on any host.
#pragma once

#include "base/Time.h"
#include "kernel/GatewayServices.h"
#include "kernel/PeerMessage.h"

#include <cstdint>
#include <map>
#include <vector>

namespace banyanpick {

/// What this host knows of the versions in force, and when it was last told.
/// Ages travel with the versions, so that a host that hears of a version late,
/// or from a host that lacks it too, knows how long it has been behind.
class VersionTracker {
public:
  /// A peer or the store reported at \p At which version is in force.
  void noteReport(Time At);
  /// Some host read the store to its end at \p At.
  void noteStoreRead(Time At);
  /// This host read the version from the store at \p At. It may have been
  /// written at any time since the last known read by any host.
  void noteReadFromStore(std::uint64_t Version, Time At);
  /// Some host has had the version in force since \p Since or longer.
  void noteInForce(std::uint64_t Version, Time Since);
  /// The version came in force on this host.
  void activated(std::uint64_t Version, Time Now);
  /// Versions up to \p Version do not count as missing here.
  void setKnownUpTo(std::uint64_t Version);

  /// Whether the oldest missing version has been in force for \p Limit.
  bool isOlderThan(Duration Limit, Time Now) const;
  ConfigurationFreshness freshness(Time Now) const;
  /// Returns the newest versions, oldest first.
  std::vector<VersionInForce> recent(Time Now) const;

private:
  using Versions = std::map<std::uint64_t, Time>;
  /// Returns the oldest version that this host lacks, or the end.
  Versions::const_iterator oldestMissing() const;

  Versions InForceSince; ///< When each version was first known to be in force.
  std::uint64_t KnownUpTo = 0;
  Duration LastPropagation{}; ///< Until the last version was in force here.
  Time ReportedAt{};          ///< Zero: no report since the start.
  Time StoreReadAt{};         ///< The last known read; zero: none.
};

} // namespace banyanpick
