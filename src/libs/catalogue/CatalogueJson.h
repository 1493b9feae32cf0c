/// \file
/// Change sets, entries and verdicts as JSON. Members of bodies are the keys
/// of the INI form.
#pragma once

#include "catalogue/Catalogue.h"

#include <nlohmann/json.hpp>

namespace banyanpick {

nlohmann::json toJson(const ChangeSet &Set);

/// Reads and checks a change set. Its author, when given, is what the writer
/// says; whoever takes a set from an operator replaces it by the owner proved.
/// Throws Error(BadInput) that names the path of what is wrong and the remedy.
ChangeSet changeSetFromJson(const nlohmann::json &Given);

/// An array of entries in the order of their keys.
nlohmann::json toJson(const EntryMap &Entries);

/// The inverse of toJson(). Checks types but not values: what is in force was
/// checked when it was taken in. Throws Error(BadInput).
EntryMap entryMapFromJson(const nlohmann::json &Given);

/// `{"verdict": "accepted", "offset": N}` or `{"verdict": "rejected",
/// "message": M}`.
nlohmann::json toJson(const ChangeVerdict &Verdict);

/// The inverse. Throws Error(BadInput).
ChangeVerdict changeVerdictFromJson(const nlohmann::json &Given);

} // namespace banyanpick
