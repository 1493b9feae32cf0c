#include "plugins/routes/VersionTracker.h"

#include <algorithm>
#include <iterator>

namespace banyanpick {

namespace {

/// Number of versions that are recorded; further ones replace the oldest that
/// this host has.
constexpr std::size_t MaxVersions = 64;

} // namespace

void VersionTracker::noteReport(Time At) {
  this->ReportedAt = std::max(this->ReportedAt, At);
}

void VersionTracker::noteStoreRead(Time At) {
  this->StoreReadAt = std::max(this->StoreReadAt, At);
}

void VersionTracker::noteReadFromStore(std::uint64_t Version, Time At) {
  const bool HasEarlierRead = this->StoreReadAt != Time{};
  this->noteInForce(Version,
                    HasEarlierRead ? std::min(At, this->StoreReadAt) : At);
}

void VersionTracker::noteInForce(std::uint64_t Version, Time Since) {
  if (Version == 0)
    return;
  const auto Known = this->InForceSince.find(Version);
  if (Known != this->InForceSince.end()) {
    Known->second = std::min(Known->second, Since);
    return;
  }
  if (this->InForceSince.size() == MaxVersions) {
    const auto Oldest = this->InForceSince.begin();
    if (Oldest->first > this->KnownUpTo || Oldest->first > Version)
      return;
    this->InForceSince.erase(Oldest);
  }
  this->InForceSince.emplace(Version, Since);
}

void VersionTracker::activated(std::uint64_t Version, Time Now) {
  const auto Known = this->InForceSince.find(Version);
  if (Known != this->InForceSince.end())
    this->LastPropagation = Now - Known->second;
  this->setKnownUpTo(Version);
}

void VersionTracker::setKnownUpTo(std::uint64_t Version) {
  this->KnownUpTo = std::max(this->KnownUpTo, Version);
}

VersionTracker::Versions::const_iterator VersionTracker::oldestMissing() const {
  return this->InForceSince.upper_bound(this->KnownUpTo);
}

bool VersionTracker::isOlderThan(Duration Limit, Time Now) const {
  const auto Missing = this->oldestMissing();
  return Missing != this->InForceSince.end() && Now >= Missing->second + Limit;
}

ConfigurationFreshness VersionTracker::freshness(Time Now) const {
  ConfigurationFreshness Result;
  const auto Missing = this->oldestMissing();
  if (Missing != this->InForceSince.end()) {
    Result.MissingVersion = Missing->first;
    Result.MissingFor = Now - Missing->second;
    Result.ExpectedIn =
        std::max(Duration(0), this->LastPropagation - Result.MissingFor);
  }
  if (this->ReportedAt != Time{})
    Result.ReportAge = std::max(Duration(0), Now - this->ReportedAt);
  return Result;
}

std::vector<VersionInForce> VersionTracker::recent(Time Now) const {
  const std::size_t Count =
      std::min(this->InForceSince.size(), MaxRecentVersions);
  std::vector<VersionInForce> Result;
  for (auto Next = std::prev(this->InForceSince.end(),
                             static_cast<std::ptrdiff_t>(Count));
       Next != this->InForceSince.end(); ++Next)
    Result.push_back({Next->first, std::max(Duration(0), Now - Next->second)});
  return Result;
}

} // namespace banyanpick
