/// \file
/// The request target: a path and a query.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// A target taken apart, its percent signs decoded.
struct HttpTarget {
  std::string Path;
  std::map<std::string, std::string, std::less<>> Query;

  /// The query's value of that name, or nothing.
  std::optional<std::string> value(std::string_view Name) const;

  /// A whole number of the query; \p Otherwise when absent. Throws
  /// Error(BadInput) when it is no number.
  std::uint64_t number(std::string_view Name, std::uint64_t Default) const;

  /// What stands behind \p Prefix in the path, or nothing.
  std::optional<std::string> afterPrefix(std::string_view Prefix) const;
};

/// Throws Error(BadInput) when a percent sign is not followed by two digits.
HttpTarget parseTarget(std::string_view Text);

} // namespace banyanpick
