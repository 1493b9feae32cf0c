/// \file
/// Declares settings: section, key, kind, default, bounds and help text. Each
/// feature declares its own settings.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace banyanpick {

enum class SettingKind {
  Text,     ///< Any text.
  Whole,    ///< A whole number.
  Fraction, ///< A decimal number.
  Span,     ///< A duration with its unit: `250us`, `20ms`, `3s`, `5min`.
  Size,     ///< Bytes with an optional unit: `512`, `64KB`, `16MB`.
  Flag,     ///< `true` or `false`.
  Address,  ///< `ip:port` with a numeric IP address.
  Choice,   ///< One of Choices.
};

/// Declares one setting. Bounds are in the unit of the kind: microseconds for
/// Span, bytes for Size.
struct SettingDeclaration {
  std::string Section;
  std::string Key;
  SettingKind Kind = SettingKind::Text;
  std::string Default; ///< In the form used in a settings file.
  std::string Help;    ///< One sentence.
  double Minimum = 0;
  double Maximum = 1e15;
  std::vector<std::string> Choices{};
  bool Required = false; ///< No default; must be given.
};

} // namespace banyanpick
