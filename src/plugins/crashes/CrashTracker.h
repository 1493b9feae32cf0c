/// \file
/// Tracks contents that crashed the upstreams on which they ran.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <map>
#include <set>
#include <vector>

namespace banyanpick {

/// A content that ran on an upstream when the upstream died.
struct Crash {
  Fingerprint Content;
  UpstreamId Engine;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const Crash &) const = default;
};

/// A crash that the death of its upstream confirmed.
struct ConfirmedCrash {
  Crash Observed;
  Duration SuspectedFor{}; ///< Time from the lost connection to the evidence.
};

/// Counts the upstreams that each content crashed. A lost connection is only a
/// suspicion; the upstream's death confirms it as a crash. Unaffected contents
/// that ran beside the cause do not run on the next upstream that dies, so only
/// the count of the cause rises.
class CrashTracker {
public:
  CrashTracker() = default;
  /// \p SuspicionLifetime is the longest time from a lost connection to the
  /// death that confirms it.
  CrashTracker(std::size_t QuarantineThreshold, Duration SuspicionLifetime,
               Duration RetentionTime)
      : QuarantineThreshold(QuarantineThreshold),
        SuspicionLifetime(SuspicionLifetime), RetentionTime(RetentionTime) {}

  void addSuspicion(const Crash &Observed, Time Now);
  /// Called when an upstream has died. Returns the newly confirmed crashes.
  std::vector<ConfirmedCrash> confirm(const UpstreamId &Engine, Time Now);
  /// Adds a confirmed crash. Returns whether it is new.
  bool add(const Crash &Observed, Time Now);

  /// Returns how many upstreams the content crashed.
  std::size_t crashCount(Fingerprint Content) const;
  bool isQuarantined(Fingerprint Content) const;
  /// Returns, once, that this host is to store the quarantine of the content:
  /// it is quarantined, and this host found one of its crashes.
  bool takeToStore(Fingerprint Content);
  /// Quarantines a content whose crashes an earlier process counted.
  void restore(Fingerprint Content, Time Now);
  std::vector<Crash> confirmedCrashes() const;
  /// Removes expired suspicions and records. Returns the contents that are no
  /// longer quarantined.
  std::vector<Fingerprint> removeExpired(Time Now);

private:
  struct Record {
    std::set<UpstreamId> Engines;
    Time LastAt{};
    bool IsFoundHere = false; ///< This host confirmed one of its crashes.
    bool IsStored = false;    ///< This host has stored its quarantine.
    bool IsRestored = false;  ///< Its crashes were before this process.
  };

  bool isQuarantined(const Record &Entry) const;

  std::size_t QuarantineThreshold = 0;
  Duration SuspicionLifetime{};
  Duration RetentionTime{};
  std::map<Crash, Time> Suspicions;
  std::map<Fingerprint, Record> Records;
};

} // namespace banyanpick
