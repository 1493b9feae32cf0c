/// \file
/// Cuts a stream of server-sent events at the borders of events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanpick {

/// Bytes are passed on unchanged, but only whole events: half of one may be
/// the last thing that an upstream sends.
class EventSplitter {
public:
  /// Adds bytes; gives the whole events that are there now.
  std::string feed(std::string_view Bytes);

  /// The id of the last whole event.
  std::optional<std::uint64_t> lastId() const { return this->LastId; }
  /// False once an id did not rise: events are missing, doubled or of another
  /// stream.
  bool isInOrder() const { return this->InOrder; }
  /// Bytes of an event that is not whole.
  std::size_t pendingBytes() const { return this->Pending.size(); }
  /// Ids must be higher than this from now on.
  void resumeAfter(std::optional<std::uint64_t> Id) { this->LastId = Id; }

private:
  void checkIds(std::string_view Events);

  std::string Pending;
  std::optional<std::uint64_t> LastId;
  bool InOrder = true;
};

} // namespace banyanpick
