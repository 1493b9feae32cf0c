/// \file
/// Answers to operators as JSON, read and written by both binaries. The forms
/// stand in docs/PROTOCOLS.md.
#pragma once

#include "kernel/Operator.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace banyanpick {

/// The body of the answer.
nlohmann::json toJson(const OperatorAnswer &Answer);

/// An error of any port: `{"error": {"kind": K, "message": M}}`.
nlohmann::json errorJson(std::string_view Kind, std::string_view Message);

// The inverses; they throw Error(BadInput).
CatalogueShown catalogueShownFromJson(const nlohmann::json &Document);
HistoryShown historyFromJson(const nlohmann::json &Document);
StatusReport statusFromJson(const nlohmann::json &Document);

/// What became of a change set.
using ChangeAnswer =
    std::variant<ChangesAccepted, ChangesRejected, VerdictPending>;
ChangeAnswer changeAnswerFromJson(const nlohmann::json &Document);

/// `alive`, `suspect`, `dead`, `leaving`.
std::string_view name(MemberState State);

/// Sixteen hexadecimal digits.
std::string fingerprintText(Fingerprint Content);
/// Throws Error(BadInput) when \p Text is not 1 to 16 hexadecimal digits.
Fingerprint parseFingerprint(std::string_view Text);

} // namespace banyanpick
