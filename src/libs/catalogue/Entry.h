/// \file
/// What operators declare: entries, each with an owner, a kind and limits.
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

/// A salted hash of a key, `salt:hash` in hexadecimal. Keys themselves never
/// stand in the catalogue, in logs or in the platform's log.
struct KeyDigest {
  std::string Text;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const KeyDigest &) const = default;
};

/// Somebody who owns entries and may change them.
struct OwnerEntry {
  KeyDigest Key;

  bool operator==(const OwnerEntry &) const = default;
};

/// A customer: who may send, which classes, and how much.
struct TeamEntry {
  KeyDigest Key;
  double Weight = 1.0;                 ///< Share under contention.
  std::uint32_t RequestsPerMinute = 0; ///< 0 means no limit.
  std::uint64_t TokensPerMinute = 0;   ///< Prompt and output; 0: no limit.
  std::uint32_t Concurrent = 0;        ///< Requests at once; 0: no limit.
  std::vector<ClassId> Classes;        ///< Classes the team may use.

  bool operator==(const TeamEntry &) const = default;
};

/// Which back end a class runs on.
enum class TargetKind { Model, Application };

/// A kind of request with its promise.
struct ClassEntry {
  TargetKind Target = TargetKind::Model;
  std::string TargetName;            ///< Model or application service name.
  std::uint64_t MaxPromptTokens = 0; ///< Longer prompts are refused.
  std::uint64_t MaxOutputTokens = 0; ///< Upper bound of an answer.
  /// Promise: the first token within Base + PerThousandTokens * prompt / 1000.
  Duration FirstTokenBase{};
  Duration FirstTokenPerThousandTokens{};
  /// Promise: the whole answer within the first token's time plus this for
  /// each output token allowed, plus AnswerBase.
  Duration AnswerBase{};
  Duration AnswerPerToken{};
  std::uint32_t Urgency = 5; ///< 0 is the least, 9 the most urgent.
  bool Idempotent = true;    ///< false: runs at most once, claimed.

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

/// The owner of the entries that declare owners, and the only one that may
/// change them. Its key stands in the hosts' settings.
inline constexpr std::string_view RootOwner = "root";

/// What names an entry: its kind and name, `team member-house-1`.
struct EntryKey {
  EntryKind Kind = EntryKind::Owner;
  std::string Name;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang 14 misreads defaults.
  auto operator<=>(const EntryKey &) const = default;
};

/// One declaration in force. Version is the log offset of its last change.
struct Entry {
  OwnerId Owner;
  EntryBody Body;
  LogOffset Version = 0;

  bool operator==(const Entry &) const = default;
};

/// All entries in force, by key.
using EntryMap = std::map<EntryKey, Entry>;

/// A change of one entry, written against a version of it.
struct Change {
  EntryKey Key;
  LogOffset BaseVersion = 0;     ///< 0: the entry did not exist.
  OwnerId Owner;                 ///< The owner the entry shall have.
  std::optional<EntryBody> Body; ///< Absent: the entry is removed.

  bool operator==(const Change &) const = default;
};

/// Changes that take effect together or not at all.
struct ChangeSet {
  ChangeId Id;
  OwnerId Author; ///< Proved by the entry host that took it from the operator.
  std::vector<Change> Changes;

  bool operator==(const ChangeSet &) const = default;
};

/// The keyword of a kind: `owner`, `team`, `class`, `model`.
std::string_view name(EntryKind Kind);

/// `team member-house-1`.
std::string text(const EntryKey &Key);

} // namespace banyanpick
