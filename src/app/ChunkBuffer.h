/// \file
/// Chunks of one answer between upstream and caller, bounded in bytes.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace banyanpick {

/// Keeps every chunk not yet delivered, and of those delivered as many as fit
/// into a bound, for a caller whose connection was cut.
class ChunkBuffer {
public:
  /// \p FirstIndex is the index of the first chunk to come.
  ChunkBuffer(std::uint64_t FirstIndex, std::size_t KeepDeliveredBytes)
      : First(FirstIndex), Delivered(FirstIndex),
        KeepDeliveredBytes(KeepDeliveredBytes) {}

  void append(std::string Text);

  /// Chunks before \p Index were handed to the caller's connection.
  void markDelivered(std::uint64_t Index);

  /// The oldest chunk kept.
  std::uint64_t first() const { return this->First; }
  /// One past the newest chunk.
  std::uint64_t end() const { return this->First + this->Chunks.size(); }
  /// The first chunk not handed to the caller's connection; may lie past
  /// end() when the caller said that it has more.
  std::uint64_t delivered() const { return this->Delivered; }

  /// The chunk of that index, in [first(), end()).
  const std::string &at(std::uint64_t Index) const {
    return this->Chunks[Index - this->First];
  }

  /// Bytes of chunks not delivered, with what the program needs for each.
  std::size_t undeliveredBytes() const {
    return this->Bytes - this->DeliveredBytes;
  }
  std::size_t bytes() const { return this->Bytes; }

  /// All chunks in one text; for answers that are not streamed.
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
