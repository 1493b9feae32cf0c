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
class CrashBook {
public:
  CrashBook() = default;
  /// \p SuspectFor: how long a death may follow the lost connection.
  CrashBook(std::size_t MostCrashes, Duration SuspectFor, Duration KeepFor)
      : MostCrashes(MostCrashes), SuspectFor(SuspectFor), KeepFor(KeepFor) {}

  void suspect(const Crash &Each, Time Now);
  /// The upstream died; gives the crashes that this confirms.
  std::vector<Crash> confirm(const UpstreamId &Engine, Time Now);
  /// Takes a confirmed crash in; true when it is new.
  bool add(const Crash &Each, Time Now);

  std::size_t crashes(Fingerprint Content) const;
  bool isQuarantined(Fingerprint Content) const {
    return this->crashes(Content) >= this->MostCrashes;
  }
  std::vector<Crash> all() const;
  /// Forgets what is old.
  void age(Time Now);

private:
  struct Record {
    std::set<UpstreamId> Engines;
    Time LastAt{};
  };

  std::size_t MostCrashes = 0;
  Duration SuspectFor{};
  Duration KeepFor{};
  std::map<Crash, Time> Suspicions;
  std::map<Fingerprint, Record> Records;
};

} // namespace banyanpick
