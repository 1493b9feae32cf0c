/// \file
/// Parses and formats single values of catalogue entries, and checks names.
#pragma once

#include "catalogue/EntryFields.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanpick {

using MutableTarget = TargetReference<TargetKind, std::string>;
using ConstTarget = TargetReference<const TargetKind, const std::string>;

/// Formats the duration in the largest unit that divides it without a
/// remainder: `1500us`, `20ms`, `3s`.
std::string durationText(Duration Value);
/// Returns nothing when \p Text is not a duration with a unit.
std::optional<Duration> parseDuration(std::string_view Text);

/// Returns `model:NAME` or `application:NAME`.
std::string targetText(const ConstTarget &Value);
/// Parses the text form into \p Into. Returns false and leaves \p Into
/// unchanged when \p Text is malformed.
bool parseTarget(std::string_view Text, const MutableTarget &Into);

/// Returns the kind with this keyword, or nothing.
std::optional<EntryKind> parseEntryKind(std::string_view Keyword);

/// Returns a body of this kind with default values.
EntryBody emptyBody(EntryKind Kind);

/// Returns whether an entry of this kind may have this name.
bool isAllowedName(EntryKind Kind, std::string_view Name);

/// Describes the names allowed for this kind. Names of owners and teams have no
/// dot, because a dot ends the name in a presented key, `NAME.SECRET`.
std::string allowedNames(EntryKind Kind);

} // namespace banyanpick
