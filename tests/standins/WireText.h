/// \file
/// Text forms of the published protocols that the stand-ins share.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <charconv>
#include <chrono>
#include <fmt/format.h>
#include <string>
#include <string_view>

namespace banyanpick::standins {

/// Returns the wall-clock time in the project's resolution.
inline Time wallNow() {
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch()));
}

inline std::int64_t toMilliseconds(Time At) {
  return std::chrono::duration_cast<milliseconds>(At.time_since_epoch())
      .count();
}

inline Time fromMilliseconds(std::int64_t Value) {
  return Time(milliseconds(Value));
}

inline std::string toHex(std::uint64_t Value) {
  return fmt::format("{:x}", Value);
}

inline std::uint64_t fromHex(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  return Value;
}

/// Parses the name of an attempt or hold: `LIFE-SEQUENCE` in hexadecimal, where
/// LIFE is the incarnation of the host.
template <class Tag> SequencedId<Tag> parseSequencedId(std::string_view Text) {
  const std::size_t Dash = std::min(Text.find('-'), Text.size());
  const std::string_view SequenceText =
      Text.substr(std::min(Dash + 1, Text.size()));
  return {Incarnation(fromHex(Text.substr(0, Dash))), fromHex(SequenceText)};
}

/// Parses a decimal number of a header. Returns 0 when it is malformed.
inline std::int64_t parseInteger(std::string_view Text) {
  std::int64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

} // namespace banyanpick::standins
