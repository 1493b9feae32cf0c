/// \file
/// The written forms of single values of entries, and what is wrong with one.
#pragma once

#include "catalogue/EntryFields.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanpick {

using MutableTarget = TargetReference<TargetKind, std::string>;
using ConstTarget = TargetReference<const TargetKind, const std::string>;

/// The duration in the largest unit that divides it: `1500us`, `20ms`, `3s`.
std::string durationText(Duration Value);
/// Nothing when \p Text is no duration with a unit.
std::optional<Duration> parseDuration(std::string_view Text);

/// `model:NAME` or `application:NAME`.
std::string targetText(const ConstTarget &Value);
/// False when \p Text is neither form; then nothing is written.
bool parseTarget(std::string_view Text, const MutableTarget &Into);

/// The kind with this keyword, or nothing.
std::optional<EntryKind> parseEntryKind(std::string_view Keyword);

/// An empty body of this kind.
EntryBody emptyBody(EntryKind Kind);

/// Whether an entry of this kind may have this name.
bool isAllowedName(EntryKind Kind, std::string_view Name);

/// The names allowed for this kind, in words. Owners and teams have no dot in
/// theirs, for a dot ends the name in `TEAM.SECRET`.
std::string allowedNames(EntryKind Kind);

} // namespace banyanpick
