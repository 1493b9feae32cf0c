/// \file
/// Splits a stream of server-sent events at event boundaries.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyanpick {

/// Complete blocks of a stream, each with the empty line at its end.
struct SplitEvents {
  std::string Bytes;
  /// One of the blocks is an event. A block without data is none: it consists
  /// of comments or unknown fields.
  bool HasEvent = false;
};

/// Forwards bytes unchanged, but only complete blocks: an upstream may fail in
/// the middle of an event. Withholds what precedes the first event.
class EventSplitter {
public:
  /// Adds bytes and returns the blocks that are complete now. The cost is
  /// linear in the number of bytes.
  SplitEvents feed(std::string_view Bytes);

  /// Returns the id of the last complete event.
  std::optional<std::uint64_t> lastId() const { return this->LastId; }
  /// Returns false once an event id was not higher than the one before it:
  /// events are missing, repeated or from another stream.
  bool isInOrder() const { return this->InOrder; }
  /// Returns the number of bytes held of an incomplete block.
  std::size_t pendingBytes() const { return this->Pending.size(); }
  /// Returns the number of bytes since the end of the last event, including
  /// the complete blocks without data.
  std::size_t bytesSinceEvent() const {
    return this->BytesWithoutEvent + this->Pending.size();
  }
  /// Whether the stream would end within an event or another block. Empty lines
  /// end every block, however many follow.
  bool isWithinBlock() const;
  /// Returns what was not returned yet at the end of the stream: blocks before
  /// the first event and empty lines.
  std::string takeRest();
  /// Requires the ids of the following events to be higher than \p Id.
  void resumeAfter(std::optional<std::uint64_t> Id) { this->LastId = Id; }

private:
  /// Removes the complete blocks from Pending and returns them.
  std::string takeComplete();
  /// Checks the ids and returns whether one of the blocks is an event.
  bool readLines(std::string_view Blocks);
  void checkId(std::uint64_t Id);

  std::string Pending;
  std::size_t SearchedBytes = 0; ///< Of Pending, without a boundary.
  std::string Withheld;
  std::size_t BytesWithoutEvent = 0;
  std::optional<std::uint64_t> LastId;
  bool HasBegun = false; ///< An event was returned.
  bool InOrder = true;
};

} // namespace banyanpick
