/// \file
/// The types of the catalogue that operators declare: entries with an owner, a
/// kind and limits, and changes of them.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace banyanpick {

/// A salted hash of a key, `salt:hash` in hexadecimal. The keys themselves are
/// never stored in the catalogue, in log files or in the platform's log.
struct KeyDigest {
  std::string Text;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const KeyDigest &) const = default;
};

/// An owner of entries, who may change them.
struct OwnerEntry {
  KeyDigest Key;

  bool operator==(const OwnerEntry &) const = default;
};

/// A customer that may send requests: its key, allowed classes and limits.
struct TeamEntry {
  KeyDigest Key;
  double Weight = 1.0;                 ///< Share under contention.
  std::uint32_t RequestsPerMinute = 0; ///< 0 means no limit.
  std::uint64_t TokensPerMinute = 0;   ///< Prompt and output; 0: no limit.
  std::uint32_t Concurrent = 0;        ///< Requests at once; 0: no limit.
  std::vector<ClassId> Classes;        ///< Classes the team may use.

  bool operator==(const TeamEntry &) const = default;
};

/// The kind of back end that a class runs on.
enum class TargetKind { Model, Application };

/// A class of requests with its latency targets.
struct ClassEntry {
  TargetKind Target = TargetKind::Model;
  std::string TargetName;            ///< Model or application service name.
  std::uint64_t MaxPromptTokens = 0; ///< Longer prompts are rejected.
  std::uint64_t MaxOutputTokens = 0; ///< Upper bound of an answer.
  /// Target: the first token arrives within FirstTokenBase +
  /// FirstTokenPerThousandTokens * prompt tokens / 1000.
  Duration FirstTokenBase{};
  Duration FirstTokenPerThousandTokens{};
  /// Target: the complete answer arrives within the first token's time +
  /// AnswerBase + AnswerPerToken * output tokens allowed.
  Duration AnswerBase{};
  Duration AnswerPerToken{};
  std::uint32_t Urgency = 5; ///< 0 is the least urgent, 9 the most.
  bool Idempotent = true;    ///< false: runs at most once, by a claim.

  bool operator==(const ClassEntry &) const = default;
};

/// A model that engines load.
struct ModelEntry {
  std::string Weights;              ///< Name in the weight store.
  std::uint64_t WeightBytes = 0;    ///< Size, for the weight store's budget.
  std::uint32_t MinimumEngines = 0; ///< Engines that must have it loaded.
  std::uint32_t MaximumEngines = 0; ///< 0 means no bound.

  bool operator==(const ModelEntry &) const = default;
};

using EntryBody = std::variant<OwnerEntry, TeamEntry, ClassEntry, ModelEntry>;

/// The kinds of entry, in the order of EntryBody's alternatives.
enum class EntryKind { Owner, Team, Class, Model };

/// The owner of all OwnerEntry entries and the only one that may change them.
/// Its key is part of the hosts' settings.
inline constexpr std::string_view RootOwner = "root";

/// Identifies an entry by its kind and name, as in `team member-house-1`.
struct EntryKey {
  EntryKind Kind = EntryKind::Owner;
  std::string Name;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const EntryKey &) const = default;
};

/// An entry in force. Version is the log offset of its last change.
struct Entry {
  OwnerId Owner;
  EntryBody Body;
  LogOffset Version = 0;

  bool operator==(const Entry &) const = default;
};

/// All entries in force, by key.
using EntryMap = std::map<EntryKey, Entry>;

/// A change of one entry, based on a version of that entry.
struct Change {
  EntryKey Key;
  LogOffset BaseVersion = 0;     ///< 0: the entry did not exist.
  OwnerId Owner;                 ///< The owner of the entry after the change.
  std::optional<EntryBody> Body; ///< Absent: the entry is removed.

  bool operator==(const Change &) const = default;
};

/// Changes that are applied atomically.
struct ChangeSet {
  ChangeId Id;
  OwnerId Author; ///< Authenticated by the entry host that received the set.
  std::vector<Change> Changes;

  bool operator==(const ChangeSet &) const = default;
};

/// Returns the keyword of a kind: `owner`, `team`, `class` or `model`.
std::string_view name(EntryKind Kind);

/// Returns kind and name, such as `team member-house-1`.
std::string text(const EntryKey &Key);

} // namespace banyanpick
