/// \file
/// Decides which chunks of an upstream's stream belong to the answer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace banyanpick {

/// One try's stream. Chunks of other tries and repeated ones are dropped; the
/// stream is whole only when the end mark names as many chunks as came.
class StreamAssembler {
public:
  /// \p Attempt is the id that each chunk must echo; chunks before
  /// \p NextIndex are delivered already.
  StreamAssembler(std::string_view Attempt, std::uint64_t NextIndex)
      : Attempt(Attempt), Next(NextIndex) {}

  enum class Verdict {
    Deliver,  ///< The chunk expected next.
    Drop,     ///< Of another try, or repeated; nothing happens.
    Complete, ///< The end mark fits; the answer is whole.
    Broken,   ///< A chunk is missing, or the count differs.
  };

  Verdict acceptChunk(std::string_view ChunkAttempt, std::uint64_t Index);
  Verdict acceptEnd(std::string_view EndAttempt, std::uint64_t Count);

  /// The chunk expected next.
  std::uint64_t nextIndex() const { return this->Next; }
  /// Chunks and marks dropped so far.
  std::uint64_t dropped() const { return this->Dropped; }

private:
  Verdict drop();

  std::string Attempt;
  std::uint64_t Next;
  std::uint64_t Dropped = 0;
  bool Closed = false; ///< Whole or broken; nothing more counts.
};

} // namespace banyanpick
