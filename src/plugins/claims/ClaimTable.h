/// \file
/// The fold of claims and outcomes: which life of which host may run each
/// non-idempotent operation. A pure function of the log.
#pragma once

#include "kernel/LogRecord.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace banyanpick {

/// An operation's identity: keys of two teams never meet.
struct OperationName {
  TeamId Team;
  OperationKey Key;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const OperationName &) const = default;
};

/// The claim that owns an operation.
struct ClaimOwner {
  RecordId Claim; ///< Its maker is the owner's life.
  HostId Host;
  Fingerprint Content;

  bool operator==(const ClaimOwner &) const = default;
};

/// How the owner ended it.
struct ClaimOutcome {
  OutcomeRecord::Kind Ended = OutcomeRecord::Kind::Unknown;
  std::string Result;

  bool operator==(const ClaimOutcome &) const = default;
};

/// One operation as the log tells it.
struct ClaimedOperation {
  std::optional<ClaimOwner> Owner; ///< None: given back.
  std::optional<ClaimOutcome> Outcome;
  std::set<RecordId>
      ProcessedClaims; ///< Claims read before; a second copy is void.
  Time CreatedAt{};    ///< From the key.

  bool operator==(const ClaimedOperation &) const = default;
};

enum class ClaimFoldResult { Owns, Lost, Ignored };

/// All operations whose keys are young enough to be asked for.
class ClaimTable {
public:
  /// Folds a claim. The first one read while nobody owns the operation owns
  /// it; any other has lost for good, also when the owner gives it back. Only
  /// the first copy of a claim counts.
  ClaimFoldResult fold(const RecordId &Id, const ClaimRecord &Claim);

  /// Folds an outcome; it counts only for the very claim it names, once.
  void fold(const OutcomeRecord &Outcome);

  /// Forgets operations whose keys were made before \p Oldest.
  void prune(Time Oldest);

  const ClaimedOperation *find(const OperationName &Name) const;
  std::size_t size() const { return this->Operations.size(); }

  bool operator==(const ClaimTable &) const = default;

private:
  std::map<OperationName, ClaimedOperation> Operations;
  std::set<std::pair<Time, OperationName>> ByAge;
};

} // namespace banyanpick
