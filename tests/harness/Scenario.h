/// \file
/// A scenario as text: what there is, then what happens when. The grammar
/// stands in docs/SCENARIOS.md.
#pragma once

#include "base/Time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// One line of a scenario, in words.
struct Statement {
  int Line = 0;
  std::optional<Duration> At; ///< Absent: part of the setup.
  std::vector<std::string> Words;

  /// The word at \p Position; throws Error(BadInput) naming the line.
  const std::string &word(std::size_t Position) const;
  /// The word after \p Keyword, or nothing.
  std::optional<std::string> after(std::string_view Keyword) const;
  std::string after(std::string_view Keyword, std::string_view Default) const;
  std::uint64_t number(std::string_view Keyword, std::uint64_t Default) const;
  bool has(std::string_view Word) const;
  /// The words from \p First up to the first of \p Ends, or to the end.
  std::vector<std::string> names(std::size_t First,
                                 std::vector<std::string_view> Ends = {}) const;
  /// Throws Error(BadInput) with file-independent text naming the line.
  [[noreturn]] void fail(std::string_view Problem) const;
};

/// The statements of \p Text: the setup in its order, then the rest by time.
std::vector<Statement> parseScenario(std::string_view Text);

/// `250ms`, `3s`, `2min`.
Duration parseDuration(const Statement &Source, const std::string &Text);

} // namespace banyanpick
