/// \file
/// A buffer for the chunks of one answer between upstream and caller.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace banyanpick {

/// Keeps every undelivered chunk, and as many of the newest delivered chunks as
/// fit into a bound in bytes. A caller whose connection was lost resumes from
/// the delivered chunks.
class ChunkBuffer {
public:
  /// \p FirstIndex is the index of the first chunk that will be appended.
  ChunkBuffer(std::uint64_t FirstIndex, std::size_t KeepDeliveredBytes)
      : First(FirstIndex), Delivered(FirstIndex),
        KeepDeliveredBytes(KeepDeliveredBytes) {}

  void append(std::string Text);

  /// Marks the chunks before \p Index as written to the caller's connection.
  void markDelivered(std::uint64_t Index);

  /// The index of the oldest chunk kept.
  std::uint64_t first() const { return this->First; }
  /// One past the index of the newest chunk.
  std::uint64_t end() const { return this->First + this->Chunks.size(); }
  /// The index of the first undelivered chunk. Exceeds end() when the caller
  /// resumed from an index beyond the newest chunk here.
  std::uint64_t delivered() const { return this->Delivered; }

  /// Returns the chunk at \p Index, which must be in [first(), end()).
  const std::string &at(std::uint64_t Index) const {
    return this->Chunks[Index - this->First];
  }

  /// Bytes of undelivered chunks, including the overhead of each string.
  std::size_t undeliveredBytes() const {
    return this->Bytes - this->DeliveredBytes;
  }
  std::size_t bytes() const { return this->Bytes; }

  /// Returns all chunks as one text, for answers that are not streamed.
  std::string joined() const;

private:
  static std::size_t costOf(const std::string &Text) {
    return Text.size() + sizeof(std::string);
  }
  void dropOldest();

  std::uint64_t First;
  std::uint64_t Delivered;
  std::size_t KeepDeliveredBytes;
  std::size_t Bytes = 0;
  std::size_t DeliveredBytes = 0;
  std::deque<std::string> Chunks;
};

} // namespace banyanpick
