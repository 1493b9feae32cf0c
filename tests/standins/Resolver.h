/// \file
/// Resolves the entry hosts of a team and caches the answer for its time to
/// live.
#pragma once

#include "base/Time.h"

#include <mutex>
#include <string>
#include <vector>

namespace banyanpick::standins {

/// Resolves entry hosts. Safe to use from any thread.
class Resolver {
public:
  /// Asks the hosts \p Seeds in turn until one answers.
  explicit Resolver(std::vector<std::string> Seeds, std::string Zone)
      : Seeds(std::move(Seeds)), Zone(std::move(Zone)) {}

  /// Returns the entry hosts for the team, best first, or none when no seed
  /// answers.
  std::vector<std::string> hosts(const std::string &Team);

  /// Drops the cached answer. Called when a host could not be reached.
  void invalidate();

private:
  void refresh(const std::string &Team, Time Now);

  std::vector<std::string> Seeds;
  std::string Zone;
  std::mutex Mutex;
  std::vector<std::string> CachedHosts;
  Time ValidUntil{};
};

} // namespace banyanpick::standins
