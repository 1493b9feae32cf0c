/// \file
/// Formats ids and times for HTTP headers, paths and JSON.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanpick {

std::string toHex(std::uint64_t Value);

/// Returns nothing if \p Text is not a hexadecimal number of up to 64 bits.
std::optional<std::uint64_t> fromHex(std::string_view Text);

/// Returns `LIFE-SEQUENCE`: the incarnation of the host that made the id, and
/// the sequence number, both in hexadecimal.
template <class Tag> std::string idText(const SequencedId<Tag> &Id) {
  return toHex(Id.Maker.Value) + "-" + toHex(Id.Sequence);
}

/// Returns milliseconds since the Unix epoch, the format of times on the wire.
inline std::int64_t toMilliseconds(Time Moment) {
  return std::chrono::duration_cast<milliseconds>(Moment.time_since_epoch())
      .count();
}

inline Time fromMilliseconds(std::int64_t Value) {
  return Time(milliseconds(Value));
}

} // namespace banyanpick
