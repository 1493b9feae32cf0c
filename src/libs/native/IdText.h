/// \file
/// Ids as they stand in HTTP headers and paths.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanpick {

std::string toHex(std::uint64_t Value);

/// Nothing when \p Text is no hexadecimal number of 64 bits.
std::optional<std::uint64_t> fromHex(std::string_view Text);

/// `LIFE-SEQUENCE`, two hexadecimal numbers.
template <class Tag> std::string idText(const SequencedId<Tag> &Id) {
  return toHex(Id.Maker.Value) + "-" + toHex(Id.Sequence);
}

/// Milliseconds since the Unix epoch, as times stand on the wire.
inline std::int64_t toMilliseconds(Time Moment) {
  return std::chrono::duration_cast<milliseconds>(Moment.time_since_epoch())
      .count();
}

inline Time fromMilliseconds(std::int64_t Value) {
  return Time(milliseconds(Value));
}

} // namespace banyanpick
