/// \file
/// The fold of claim and outcome records. It determines which incarnation of
/// which host may run each non-idempotent operation, from the log alone.
#pragma once

#include "kernel/LogRecord.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace banyanpick {

/// Identifies an operation. Equal keys of two teams are different operations.
struct OperationName {
  TeamId Team;
  OperationKey Key;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const OperationName &) const = default;
};

/// The claim that owns an operation.
struct ClaimOwner {
  RecordId Claim; ///< The record's maker is the owner's incarnation.
  HostId Host;
  Fingerprint Content;

  bool operator==(const ClaimOwner &) const = default;
};

/// How the owner ended the operation.
struct ClaimOutcome {
  OutcomeRecord::Kind Ended = OutcomeRecord::Kind::Unknown;
  std::string Result;

  bool operator==(const ClaimOutcome &) const = default;
};

/// The state of one operation according to the log.
struct ClaimedOperation {
  std::optional<ClaimOwner> Owner; ///< Empty after a release.
  std::optional<ClaimOutcome> Outcome;
  std::set<RecordId> ProcessedClaims; ///< A second copy of a claim is ignored.
  Time CreatedAt{};                   ///< Encoded in the key.

  bool operator==(const ClaimedOperation &) const = default;
};

enum class ClaimFoldResult { Owns, Lost, Ignored };

/// All operations whose keys callers may still use.
class ClaimTable {
public:
  /// Folds a claim. The first claim read while the operation has no owner
  /// becomes its owner. Every other claim is lost permanently, even if the
  /// owner later releases the operation. Only the first copy of a claim counts.
  ClaimFoldResult fold(const RecordId &Id, const ClaimRecord &Claim);

  /// Folds an outcome. It applies only to the claim that it names, and once.
  void fold(const OutcomeRecord &Outcome);

  /// Removes operations whose keys were created before \p Oldest.
  void prune(Time Oldest);

  const ClaimedOperation *find(const OperationName &Name) const;
  std::size_t size() const { return this->Operations.size(); }

  bool operator==(const ClaimTable &) const = default;

private:
  std::map<OperationName, ClaimedOperation> Operations;
  std::set<std::pair<Time, OperationName>> ByAge;
};

} // namespace banyanpick
