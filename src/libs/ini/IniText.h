/// \file
/// INI text read by inih, with the line of each value.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// One `key = value` with the section it stands in.
struct IniValue {
  int Line = 0;
  std::string Section;
  std::string Key;
  std::string Value;
};

/// A line that could not be read.
struct IniProblem {
  int Line = 0;
  std::string Message; ///< What is wrong, and the remedy.
};

/// A section's header. A section without values has nothing but this.
struct IniSection {
  int Line = 0;
  std::string Name;
};

/// Everything read from one text.
struct IniText {
  std::vector<IniSection> Sections;
  std::vector<IniValue> Values;
  std::vector<IniProblem> Problems;
};

/// Reads all values; malformed or overlong lines become problems. A line that
/// begins with a blank goes on with the value of the line before it, joined by
/// one blank.
IniText readIni(std::string_view Text);

} // namespace banyanpick
