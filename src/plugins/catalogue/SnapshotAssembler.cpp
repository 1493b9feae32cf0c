/// \file
#include "plugins/catalogue/SnapshotAssembler.h"

#include <algorithm>
#include <xxhash.h>

namespace banyanpick {

namespace {

/// Snapshots assembled at the same time. The oldest is dropped first.
constexpr std::size_t MaxPartials = 4;
/// An upper bound that no catalogue reaches.
constexpr std::uint32_t MaxChunks = 16384;

std::uint64_t checksum(std::string_view Text) {
  return XXH64(Text.data(), Text.size(), 0);
}

} // namespace

std::optional<CompleteSnapshot>
SnapshotAssembler::add(const SnapshotChunk &Chunk) {
  if (Chunk.Count == 0 || Chunk.Count > MaxChunks || Chunk.Index >= Chunk.Count)
    return std::nullopt;
  PartialSnapshot &Snapshot = this->Partials[Chunk.AtOffset];
  const bool IsDifferent = Snapshot.Chunks.size() != Chunk.Count ||
                           Snapshot.Checksum != Chunk.WholeChecksum;
  if (IsDifferent) {
    Snapshot.Checksum = Chunk.WholeChecksum;
    Snapshot.Chunks.assign(Chunk.Count, std::nullopt);
    Snapshot.Missing = Chunk.Count;
  }
  if (!Snapshot.Chunks[Chunk.Index]) {
    Snapshot.Chunks[Chunk.Index] = Chunk.Bytes;
    --Snapshot.Missing;
  }
  if (Snapshot.Missing == 0)
    return this->finish(Chunk.AtOffset);
  if (this->Partials.size() > MaxPartials)
    this->Partials.erase(this->Partials.begin());
  return std::nullopt;
}

std::optional<CompleteSnapshot> SnapshotAssembler::finish(LogOffset AtOffset) {
  const PartialSnapshot Finished = std::move(this->Partials[AtOffset]);
  this->Partials.erase(AtOffset);
  CompleteSnapshot Result{AtOffset, {}};
  for (const auto &Chunk : Finished.Chunks)
    Result.Text += *Chunk;
  if (checksum(Result.Text) == Finished.Checksum)
    return Result;
  ++this->Damaged;
  return std::nullopt;
}

std::vector<SnapshotChunk> splitIntoChunks(LogOffset AtOffset,
                                           std::string_view Text,
                                           std::size_t ChunkBytes) {
  const std::size_t Count =
      std::max<std::size_t>(1, (Text.size() + ChunkBytes - 1) / ChunkBytes);
  const std::uint64_t Checksum = checksum(Text);
  std::vector<SnapshotChunk> Result;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Result.push_back(
        {AtOffset, static_cast<std::uint32_t>(Index),
         static_cast<std::uint32_t>(Count), Checksum,
         std::string(Text.substr(Index * ChunkBytes, ChunkBytes))});
  return Result;
}

} // namespace banyanpick
