/// \file
/// Reads typed members of JSON documents from other services.
#pragma once

#include "base/Error.h"
#include "native/IdText.h"

#include <nlohmann/json.hpp>

namespace banyanpick {

/// Runs \p Parse and converts exceptions of the JSON library into
/// Error(BadInput). They mean that a member is missing or has another type.
template <class Function> auto convertJsonErrors(Function Parse) {
  try {
    return Parse();
  } catch (const nlohmann::json::exception &Failure) {
    throw Error(ErrorKind::BadInput,
                std::string("a JSON member is missing or has a wrong type: ") +
                    Failure.what(),
                "see docs/PROTOCOLS.md");
  }
}

/// Returns a member that holds a hexadecimal number. Throws Error(BadInput) if
/// it does not.
inline std::uint64_t hexMember(const nlohmann::json &Object, const char *Name) {
  const auto Value = fromHex(Object.at(Name).get_ref<const std::string &>());
  if (!Value)
    throw Error(ErrorKind::BadInput,
                std::string(Name) + " is not a hexadecimal number",
                "see docs/PROTOCOLS.md");
  return *Value;
}

inline std::string textMember(const nlohmann::json &Object, const char *Name) {
  return Object.at(Name).get<std::string>();
}

} // namespace banyanpick
