#include "plugins/routes/ConfigurationNews.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Number of newer versions that are recorded. Only the oldest ones matter.
constexpr std::size_t MaxNewerVersions = 64;

} // namespace

void ConfigurationNews::noteNewer(std::uint64_t Version, Time Since) {
  const auto Known = this->InForceSince.find(Version);
  if (Known != this->InForceSince.end())
    Known->second = std::min(Known->second, Since);
  else if (this->InForceSince.size() < MaxNewerVersions)
    this->InForceSince.emplace(Version, Since);
}

void ConfigurationNews::forgetUpTo(std::uint64_t Version) {
  this->InForceSince.erase(this->InForceSince.begin(),
                           this->InForceSince.upper_bound(Version));
}

bool ConfigurationNews::isOlderThan(Duration Limit, Time Now) const {
  return !this->InForceSince.empty() &&
         Now >= this->InForceSince.begin()->second + Limit;
}

ConfigurationFreshness ConfigurationNews::freshness(Time Now) const {
  ConfigurationFreshness Result;
  if (!this->InForceSince.empty()) {
    const auto &[Version, Since] = *this->InForceSince.begin();
    Result.MissingVersion = Version;
    Result.MissingFor = Now - Since;
  }
  if (this->ReportedAt != Time{})
    Result.ReportAge = std::max(Duration(0), Now - this->ReportedAt);
  return Result;
}

} // namespace banyanpick
