/// \file
/// The target of a request: a path and a query.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// A parsed target. Percent escapes are decoded.
struct HttpTarget {
  std::string Path;
  std::map<std::string, std::string, std::less<>> Query;

  /// Returns the query parameter \p Name, or nothing if it is absent.
  std::optional<std::string> value(std::string_view Name) const;

  /// Returns the query parameter \p Name as a whole number, or \p Default if it
  /// is absent. Throws Error(BadInput) if it is not a number.
  std::uint64_t number(std::string_view Name, std::uint64_t Default) const;

  /// Returns the part of the path after \p Prefix, or nothing if the path does
  /// not start with it.
  std::optional<std::string> afterPrefix(std::string_view Prefix) const;
};

/// Throws Error(BadInput) if a percent sign is not followed by two hexadecimal
/// digits.
HttpTarget parseTarget(std::string_view Text);

} // namespace banyanpick
