/// \file
/// Short words for the tests of the catalogue.
#pragma once

#include "auto/log/LogBench.h"
#include "plugins/catalogue/SnapshotText.h"

namespace banyanpick {

inline const CatalogueView &viewOf(BenchHost &Host) {
  return Host.services().get<CatalogueView>();
}

inline std::string textOf(BenchHost &Host) {
  return serializeSnapshot(viewOf(Host).catalogue());
}

/// Puts a change set into the log, as some host would.
inline LogOffset appendChangeSet(LogServiceModel &Log, ChangeSet Set) {
  return Log.append({LogRecord{{}, ConfigurationRecord{std::move(Set)}}});
}

/// Hands \p Host the message of another one.
inline void deliver(BenchHost &Host, std::string From, PeerMessageBody Body) {
  Host.handle(PeerMessageReceived{
      {HostId(std::move(From)), Incarnation(7), std::move(Body)}});
}

/// What admission says to any request now.
inline std::optional<NotRun> checkAdmission(BenchHost &Host) {
  for (AdmissionGate *Each : Host.services().list<AdmissionGate>().all()) {
    if (auto Refusal = Each->check(Request(), Host.Now))
      return Refusal;
  }
  return std::nullopt;
}

} // namespace banyanpick
