/// \file
/// Parses scenario texts: the setup, followed by timed statements. The grammar
/// is in docs/SCENARIOS.md.
#pragma once

#include "base/Time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// One line of a scenario, split into words.
struct Statement {
  int Line = 0;
  std::optional<Duration> At; ///< Absent for the setup.
  std::vector<std::string> Words;

  /// Returns the word at \p Position. Throws Error(BadInput) naming the line
  /// when there is none.
  const std::string &word(std::size_t Position) const;
  /// Returns the word after \p Keyword, or nothing when \p Keyword is absent.
  std::optional<std::string> after(std::string_view Keyword) const;
  std::string after(std::string_view Keyword, std::string_view Default) const;
  std::uint64_t number(std::string_view Keyword, std::uint64_t Default) const;
  bool has(std::string_view Word) const;
  /// Returns the words from position \p First up to the first word that is in
  /// \p Ends, or to the end of the line.
  std::vector<std::string> names(std::size_t First,
                                 std::vector<std::string_view> Ends = {}) const;
  /// Throws Error(BadInput) with \p Problem and the line number, without a file
  /// name.
  [[noreturn]] void fail(std::string_view Problem) const;
};

/// Returns the statements of \p Text: the setup in its order, followed by the
/// timed statements in the order of time.
std::vector<Statement> parseScenario(std::string_view Text);

/// Parses a duration such as `250ms`, `3s` or `2min`.
Duration parseDuration(const Statement &Source, const std::string &Text);

} // namespace banyanpick
