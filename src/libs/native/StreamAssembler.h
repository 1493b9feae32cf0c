/// \file
/// Checks the sequence of chunks in an upstream's stream.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace banyanpick {

/// Decides which chunks of one attempt's stream belong to the answer. Chunks of
/// other attempts and repeated chunks are dropped. The stream is complete only
/// if the chunk count in the end mark matches the received chunks.
class StreamAssembler {
public:
  /// \p Attempt is the id that each chunk must carry. Chunks before
  /// \p NextIndex were delivered already.
  StreamAssembler(std::string_view Attempt, std::uint64_t NextIndex)
      : Attempt(Attempt), Next(NextIndex) {}

  enum class Verdict {
    Deliver,  ///< It is the next chunk of the answer.
    Drop,     ///< It is repeated, of another attempt or after the end; ignored.
    Complete, ///< The end mark matches; the answer is complete.
    Broken,   ///< A chunk is missing, or the count differs.
  };

  Verdict acceptChunk(std::string_view ChunkAttempt, std::uint64_t Index);
  Verdict acceptEnd(std::string_view EndAttempt, std::uint64_t Count);

  /// Returns the index of the next expected chunk.
  std::uint64_t nextIndex() const { return this->Next; }
  /// Returns the number of chunks and end marks dropped so far.
  std::uint64_t dropped() const { return this->Dropped; }

private:
  Verdict drop();

  std::string Attempt;
  std::uint64_t Next;
  std::uint64_t Dropped = 0;
  bool Closed = false; ///< Complete or broken; everything later is dropped.
};

} // namespace banyanpick
