/// \file
/// Converts answers to operators to and from JSON, for both binaries. The
/// format is described in docs/PROTOCOLS.md.
#pragma once

#include "kernel/Operator.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace banyanpick {

/// Returns the body of the answer.
nlohmann::json toJson(const OperatorAnswer &Answer);

/// Returns the body of an error answer, which is the same on all ports:
/// `{"error": {"kind": K, "message": M}}`.
nlohmann::json errorJson(std::string_view Kind, std::string_view Message);

// Parse the bodies of answers. They throw Error(BadInput) if the body is
// malformed.
CatalogueShown catalogueShownFromJson(const nlohmann::json &Document);
HistoryShown historyFromJson(const nlohmann::json &Document);
StatusReport statusFromJson(const nlohmann::json &Document);

/// The outcome of a change set.
using ChangeAnswer =
    std::variant<ChangesAccepted, ChangesRejected, VerdictPending>;
ChangeAnswer changeAnswerFromJson(const nlohmann::json &Document);

/// Returns `alive`, `suspect`, `dead` or `leaving`.
std::string_view name(MemberState State);

/// Returns the fingerprint as sixteen hexadecimal digits.
std::string fingerprintText(Fingerprint Content);
/// Throws Error(BadInput) if \p Text is not 1 to 16 hexadecimal digits.
Fingerprint parseFingerprint(std::string_view Text);

} // namespace banyanpick
