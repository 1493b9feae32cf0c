/// \file
/// Contents that crashed the upstreams they ran on.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <map>
#include <set>
#include <vector>

namespace banyanpick {

/// A content that ran on an upstream when that died.
struct Crash {
  Fingerprint Content;
  UpstreamId Engine;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const Crash &) const = default;
};

/// A lost connection is only a suspicion: a crash is one that the upstream's
/// death confirms. Innocents that ran beside the culprit are not on the next
/// upstream that dies, so only the culprit's count rises.
class CrashTracker {
public:
  CrashTracker() = default;
  /// \p SuspicionLifetime: how long a death may follow the lost connection.
  CrashTracker(std::size_t QuarantineThreshold, Duration SuspicionLifetime,
               Duration RetentionTime)
      : QuarantineThreshold(QuarantineThreshold),
        SuspicionLifetime(SuspicionLifetime), RetentionTime(RetentionTime) {}

  void addSuspicion(const Crash &Observed, Time Now);
  /// The upstream died; gives the crashes that this confirms.
  std::vector<Crash> confirm(const UpstreamId &Engine, Time Now);
  /// Takes a confirmed crash in; true when it is new.
  bool add(const Crash &Observed, Time Now);

  std::size_t crashCount(Fingerprint Content) const;
  bool isQuarantined(Fingerprint Content) const {
    return this->crashCount(Content) >= this->QuarantineThreshold;
  }
  std::vector<Crash> confirmedCrashes() const;
  /// Forgets what is old.
  void removeExpired(Time Now);

private:
  struct Record {
    std::set<UpstreamId> Engines;
    Time LastAt{};
  };

  std::size_t QuarantineThreshold = 0;
  Duration SuspicionLifetime{};
  Duration RetentionTime{};
  std::map<Crash, Time> Suspicions;
  std::map<Fingerprint, Record> Records;
};

} // namespace banyanpick
