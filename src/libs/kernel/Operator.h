/// \file
/// Questions from operators to an entry host, and its answers.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"
#include "catalogue/Catalogue.h"
#include "kernel/PeerMessage.h"

#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

using OperatorRequestId = StrongId<struct OperatorQuestionTag, std::uint64_t>;

/// Applies a change set. The operator key authenticates the author.
struct ApplyChanges {
  ChangeSet Set;
};
/// Requests the verdict on an earlier change set by its id.
struct QueryVerdict {
  ChangeId Id;
};
struct ShowCatalogue {};
struct ShowHistory {
  LogOffset FromOffset = 0;
};
struct ShowStatus {};
/// Allows a quarantined fingerprint to run again in this deployment.
struct ReleaseQuarantine {
  Fingerprint Content;
};

using OperatorQuestion =
    std::variant<ApplyChanges, QueryVerdict, ShowCatalogue, ShowHistory,
                 ShowStatus, ReleaseQuarantine>;

/// The state of an entry host as seen by another entry host.
struct HostStatus {
  HostId Host;
  ZoneId Zone;
  MemberState State = MemberState::Alive;
  bool Ready = false;
  LogOffset InForce = 0;
  Duration HeardAgo{};
};

struct UpstreamStatus {
  UpstreamId Id;
  UpstreamKind Kind = UpstreamKind::Engine;
  ZoneId Zone;
  std::string State; ///< One of live, leaving, dead, unknown.
  std::uint64_t QueuedPrefillTokens = 0;
  std::uint64_t FreeMemoryTokens = 0;
  std::uint64_t MemoryTokens = 0;
  std::uint32_t Running = 0;
  Duration ReportAge{};
};

struct QuarantineStatus {
  Fingerprint Content;
  std::uint32_t Crashes = 0;
  Time Until{};
};

struct StatusReport {
  HostId Host;
  bool Ready = false;
  bool Current = false; ///< The catalogue is known to be current with the log.
  bool Leaving = false;
  LogOffset InForce = 0;
  std::uint64_t InvariantsBroken = 0;
  std::vector<HostStatus> Hosts;
  std::vector<UpstreamStatus> Upstreams;
  std::vector<QuarantineStatus> Quarantined;
};

/// The catalogue in force.
struct CatalogueShown {
  LogOffset AtOffset = 0;
  EntryMap Entries;
};

struct HistoryItem {
  LogOffset Offset = 0;
  ChangeSet Set;
  ChangeVerdict Verdict;
};
struct HistoryShown {
  std::vector<HistoryItem> Items;
};

/// The changes were accepted and read back from the log.
struct ChangesAccepted {
  LogOffset Offset = 0;
};
struct ChangesRejected {
  std::string Message;
};
/// The verdict is not known yet; request it with QueryVerdict.
struct VerdictPending {
  std::string Message;
};
struct OperatorRefused {
  std::string Message; ///< Reveals nothing about keys.
};
struct Done {};

using OperatorAnswer =
    std::variant<CatalogueShown, HistoryShown, ChangesAccepted, ChangesRejected,
                 VerdictPending, OperatorRefused, StatusReport, Done>;

} // namespace banyanpick
