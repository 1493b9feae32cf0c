/// \file
/// The records that entry hosts store in the platform's append-only log.
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

/// The right to run one non-idempotent operation. The first claim in log order
/// owns the operation permanently.
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
  /// Released: never dispatched; the key can be claimed again. Unknown: the
  /// upstream may have run the operation.
  enum class Kind { Done, Failed, Unknown, Released } Ended = Kind::Unknown;
  std::string Result;
  /// Sequence of the RecordId of the claim that this record ends; the maker of
  /// that id is OwnerLife. Prevents a delayed duplicate of a release from
  /// ending a later claim.
  std::uint64_t ClaimSequence = 0;

  bool operator==(const OutcomeRecord &) const = default;
};

/// One chunk of the canonical text of the catalogue at an offset. All hosts
/// write identical bytes.
struct SnapshotChunk {
  LogOffset AtOffset = 0;
  std::uint32_t Index = 0;
  std::uint32_t Count = 0;
  std::uint64_t WholeChecksum = 0; ///< xxhash64 of the complete text.
  std::string Bytes;

  bool operator==(const SnapshotChunk &) const = default;
};

/// A lease that makes one host the leader of an engine: only the leader sends
/// orders to it. The offset of the record in the log is the fencing number of
/// these orders.
struct LeaderLease {
  UpstreamId Engine;
  HostId Leader;
  Incarnation LeaderLife;
  Duration Length{};

  bool operator==(const LeaderLease &) const = default;
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
                 LeaderLease, QuarantineRecord>;

/// A record with the id by which its writer recognizes it in the log.
struct LogRecord {
  RecordId Id;
  LogRecordBody Body;

  bool operator==(const LogRecord &) const = default;
};

/// A record as read from the log. Records of one append share one offset;
/// Position orders them within the append.
struct StoredRecord {
  LogOffset Offset = 0;
  std::uint32_t Position = 0;
  LogRecord Record;

  bool operator==(const StoredRecord &) const = default;
};

} // namespace banyanpick
