/// \file
/// Splits a stream of server-sent events at event boundaries.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanpick {

/// Forwards bytes unchanged, but only complete events: an upstream may fail in
/// the middle of an event.
class EventSplitter {
public:
  /// Adds bytes and returns the events that are complete now.
  std::string feed(std::string_view Bytes);

  /// Returns the id of the last complete event.
  std::optional<std::uint64_t> lastId() const { return this->LastId; }
  /// Returns false once an event id was not higher than the one before it:
  /// events are missing, repeated or from another stream.
  bool isInOrder() const { return this->InOrder; }
  /// Returns the number of bytes held of an incomplete event.
  std::size_t pendingBytes() const { return this->Pending.size(); }
  /// Requires the ids of the following events to be higher than \p Id.
  void resumeAfter(std::optional<std::uint64_t> Id) { this->LastId = Id; }

private:
  void checkIds(std::string_view Events);

  std::string Pending;
  std::optional<std::uint64_t> LastId;
  bool InOrder = true;
};

} // namespace banyanpick
