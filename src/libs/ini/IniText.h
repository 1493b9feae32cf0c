/// \file
/// Reads INI text with inih and records the line number of each value.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace banyanpick {

/// One `key = value` and its section.
struct IniValue {
  int Line = 0;
  std::string Section;
  std::string Key;
  std::string Value;
};

/// A line that could not be read.
struct IniProblem {
  int Line = 0;
  std::string Message; ///< The problem and its remedy.
};

/// The header of a section. Sections without values are listed, too.
struct IniSection {
  int Line = 0;
  std::string Name;
};

/// The contents of one text.
struct IniText {
  std::vector<IniSection> Sections;
  std::vector<IniValue> Values;
  std::vector<IniProblem> Problems;
};

/// Reads all values. Malformed and overlong lines are reported as problems. A
/// line that begins with a space or tab continues the value of the line before
/// it; the parts are joined by one space.
IniText readIni(std::string_view Text);

} // namespace banyanpick
