/// \file
/// Assembles snapshots from the chunks read from the log.
#pragma once

#include "kernel/LogRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace banyanpick {

/// A snapshot with all chunks read and a matching checksum.
struct CompleteSnapshot {
  LogOffset AtOffset = 0;
  std::string Text;
};

/// Collects chunks by the offset at which their snapshot was taken. The chunks
/// of one snapshot may come from several writers, since all write the same
/// bytes.
class SnapshotAssembler {
public:
  /// Adds a chunk. Returns the snapshot when this was its last missing chunk.
  std::optional<CompleteSnapshot> add(const SnapshotChunk &Chunk);

  /// Number of snapshots that were complete but did not match their checksum.
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

/// Splits a snapshot text into chunks of at most \p ChunkBytes bytes.
std::vector<SnapshotChunk> splitIntoChunks(LogOffset AtOffset,
                                           std::string_view Text,
                                           std::size_t ChunkBytes);

} // namespace banyanpick
