/// \file
/// The records that entry hosts keep in the platform's append-only log.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"
#include "catalogue/Entry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyanpick {

/// An operator's change set.
struct ConfigurationRecord {
  ChangeSet Set;

  bool operator==(const ConfigurationRecord &) const = default;
};

/// The right to run one non-idempotent operation; the first in log order owns
/// it for good.
struct ClaimRecord {
  OperationKey Key;
  TeamId Team;
  HostId Owner;
  Incarnation OwnerLife;
  Fingerprint Content;

  bool operator==(const ClaimRecord &) const = default;
};

/// How a claimed operation ended.
struct OutcomeRecord {
  OperationKey Key;
  TeamId Team;
  Incarnation OwnerLife;
  /// Released: never dispatched, so the key is free again. Unknown: the
  /// upstream may have run it.
  enum class Kind { Done, Failed, Unknown, Released } Ended = Kind::Unknown;
  std::string Result;
  /// Sequence of the RecordId of the claim that it ends; its maker is
  /// OwnerLife. A late copy of a release can't end a later claim.
  std::uint64_t ClaimSequence = 0;

  bool operator==(const OutcomeRecord &) const = default;
};

/// One piece of the canonical text of the catalogue at an offset. Every host
/// that writes it writes the same bytes.
struct SnapshotChunk {
  LogOffset AtOffset = 0;
  std::uint32_t Index = 0;
  std::uint32_t Count = 0;
  std::uint64_t WholeChecksum = 0; ///< xxhash64 of the whole text.
  std::string Bytes;

  bool operator==(const SnapshotChunk &) const = default;
};

/// A steward's lease on giving orders to one engine. Its offset in the log is
/// the fencing number of the orders given under it.
struct StewardLease {
  UpstreamId Engine;
  HostId Leader;
  Incarnation LeaderLife;
  Duration Length{};

  bool operator==(const StewardLease &) const = default;
};

/// A content fingerprint that crashed upstreams.
struct QuarantineRecord {
  Fingerprint Content;
  std::uint32_t Crashes = 0;
  Time Until{};

  bool operator==(const QuarantineRecord &) const = default;
};

using LogRecordBody =
    std::variant<ConfigurationRecord, ClaimRecord, OutcomeRecord, SnapshotChunk,
                 StewardLease, QuarantineRecord>;

/// A record with the id by which its writer finds it again.
struct LogRecord {
  RecordId Id;
  LogRecordBody Body;

  bool operator==(const LogRecord &) const = default;
};

/// A record as read from the log. Several records may share one append and so
/// one offset; Position orders them inside it.
struct StoredRecord {
  LogOffset Offset = 0;
  std::uint32_t Position = 0;
  LogRecord Record;

  bool operator==(const StoredRecord &) const = default;
};

} // namespace banyanpick
