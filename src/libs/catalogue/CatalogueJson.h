/// \file
/// Converts change sets, entries and verdicts to and from JSON. The members of
/// entry bodies have the names of the INI keys.
#pragma once

#include "catalogue/Catalogue.h"

#include <nlohmann/json.hpp>

namespace banyanpick {

nlohmann::json toJson(const ChangeSet &Set);

/// Reads and checks a change set. The author, when given, is unverified: code
/// that accepts a set from an operator must replace it with the authenticated
/// owner. Throws Error(BadInput) with the path of the invalid member and the
/// remedy.
ChangeSet changeSetFromJson(const nlohmann::json &Source);

/// Returns an array of entries ordered by key.
nlohmann::json toJson(const EntryMap &Entries);

/// The inverse of toJson(). Checks types but not values, since the values of
/// entries in force were checked when they were accepted. Throws
/// Error(BadInput).
EntryMap entryMapFromJson(const nlohmann::json &Source);

/// Returns `{"verdict": "accepted", "offset": N}` or
/// `{"verdict": "rejected", "message": M}`.
nlohmann::json toJson(const ChangeVerdict &Verdict);

/// The inverse of toJson(const ChangeVerdict &). Throws Error(BadInput).
ChangeVerdict changeVerdictFromJson(const nlohmann::json &Source);

} // namespace banyanpick
