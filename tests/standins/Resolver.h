/// \file
/// Asks which entry hosts to use and keeps the answer for its time to live.
#pragma once

#include "base/Time.h"

#include <mutex>
#include <string>
#include <vector>

namespace banyanpick::standins {

class Resolver {
public:
  /// \p Seeds are hosts that are asked in turn until one answers.
  explicit Resolver(std::vector<std::string> Seeds, std::string Zone)
      : Seeds(std::move(Seeds)), Zone(std::move(Zone)) {}

  /// The entry hosts for the team, best first; empty when nobody answers.
  std::vector<std::string> hosts(const std::string &Team);

  /// Forgets the answer: a host it named could not be reached.
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
