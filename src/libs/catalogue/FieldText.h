/// \file
/// Fields of entries as the text of INI values.
#pragma once

#include "catalogue/EntryFields.h"
#include "catalogue/EntryValue.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanpick {

/// Sets the field \p Name of \p Body from \p Text. Gives what is wrong, with
/// the remedy, or an empty string; nothing when there is no such field.
std::optional<std::string> setField(EntryBody &Body, std::string_view Name,
                                    std::string_view Text);

/// One field in its written form.
struct FieldText {
  EntryField Field;
  std::string Text;
  bool IsDefault = false;
};

/// All fields of the body, in written order.
std::vector<FieldText> fieldTexts(const EntryBody &Body);

} // namespace banyanpick
