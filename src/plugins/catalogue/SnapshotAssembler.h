/// \file
/// Puts snapshots together from the chunks read in the log.
#pragma once

#include "kernel/LogRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace banyanpick {

/// A snapshot whose chunks were all read and whose checksum holds.
struct CompleteSnapshot {
  LogOffset AtOffset = 0;
  std::string Text;
};

/// Collects chunks by the offset their snapshot was taken at. Chunks of one
/// snapshot may come from several writers, for all write the same bytes.
class SnapshotAssembler {
public:
  /// Takes in a chunk; gives the snapshot when this was its last one.
  std::optional<CompleteSnapshot> add(const SnapshotChunk &Chunk);

  /// Snapshots that were complete but did not match their checksum.
  std::uint64_t damaged() const { return this->Damaged; }

private:
  struct PartialSnapshot {
    std::uint64_t Checksum = 0;
    std::vector<std::optional<std::string>> Chunks;
    std::size_t Missing = 0;
  };

  std::optional<CompleteSnapshot> finish(LogOffset AtOffset);

  std::map<LogOffset, PartialSnapshot> Partials;
  std::uint64_t Damaged = 0;
};

/// The chunks of a snapshot text, at most \p ChunkBytes each.
std::vector<SnapshotChunk> splitIntoChunks(LogOffset AtOffset,
                                           std::string_view Text,
                                           std::size_t ChunkBytes);

} // namespace banyanpick
