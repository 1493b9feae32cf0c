/// \file
/// Helpers for the tests of the catalogue.
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

/// Appends a change set to the log as a host does.
inline LogOffset appendChangeSet(LogServiceModel &Log, ChangeSet Set) {
  return Log.append({LogRecord{{}, ConfigurationRecord{std::move(Set)}}});
}

/// Delivers a message of the host \p From to \p Host.
inline void deliver(BenchHost &Host, std::string From, PeerMessageBody Body) {
  Host.handle(PeerMessageReceived{
      {HostId(std::move(From)), Incarnation(7), std::move(Body)}});
}

/// Returns why admission refuses any request now, or nothing if it admits.
inline std::optional<NotRun> checkAdmission(BenchHost &Host) {
  for (AdmissionGate *Gate : Host.services().list<AdmissionGate>().all()) {
    if (auto Refusal = Gate->check(Request(), Host.Now))
      return Refusal;
  }
  return std::nullopt;
}

} // namespace banyanpick
