/// \file
/// What a setting is: its place, kind, default, bounds and explanation.
/// Declarations stand with the feature they steer.
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
  Address,  ///< `ip:port` by IP number.
  Choice,   ///< One of Choices.
};

/// One setting. Bounds are in the unit of the kind: microseconds for Span,
/// bytes for Size.
struct SettingDeclaration {
  std::string Section;
  std::string Key;
  SettingKind Kind = SettingKind::Text;
  std::string Default; ///< As it would be written.
  std::string Help;    ///< One sentence.
  double Minimum = 0;
  double Maximum = 1e15;
  std::vector<std::string> Choices{};
  bool Required = false; ///< No default; must be given.
};

} // namespace banyanpick
