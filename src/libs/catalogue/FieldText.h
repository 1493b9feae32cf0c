/// \file
/// Converts fields of entries to and from the text of INI values.
#pragma once

#include "catalogue/EntryFields.h"
#include "catalogue/EntryValue.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanpick {

/// Sets the field \p Name of \p Body from \p Text. Returns an empty string on
/// success, the problem and its remedy when the value is invalid, or nothing
/// when there is no such field.
std::optional<std::string> setField(EntryBody &Body, std::string_view Name,
                                    std::string_view Text);

/// A field with its value as text.
struct FieldText {
  EntryField Field;
  std::string Text;
  bool IsDefault = false;
};

/// Returns all fields of the body, in the order in which they are written.
std::vector<FieldText> fieldTexts(const EntryBody &Body);

} // namespace banyanpick
