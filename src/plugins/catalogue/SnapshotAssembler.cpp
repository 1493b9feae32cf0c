/// \file
#include "plugins/catalogue/SnapshotAssembler.h"

#include <algorithm>
#include <xxhash.h>

namespace banyanpick {

namespace {

/// Snapshots put together at one time; the oldest goes first.
constexpr std::size_t MostOpen = 4;
/// More chunks than any catalogue needs.
constexpr std::uint32_t MostChunks = 16384;

std::uint64_t checksum(std::string_view Text) {
  return XXH64(Text.data(), Text.size(), 0);
}

} // namespace

std::optional<WholeSnapshot>
SnapshotAssembler::add(const SnapshotChunk &Chunk) {
  if (Chunk.Count == 0 || Chunk.Count > MostChunks ||
      Chunk.Index >= Chunk.Count)
    return std::nullopt;
  Partial &Into = this->Open[Chunk.AtOffset];
  const bool Other =
      Into.Pieces.size() != Chunk.Count || Into.Checksum != Chunk.WholeChecksum;
  if (Other) {
    Into.Checksum = Chunk.WholeChecksum;
    Into.Pieces.assign(Chunk.Count, std::nullopt);
    Into.Missing = Chunk.Count;
  }
  if (!Into.Pieces[Chunk.Index]) {
    Into.Pieces[Chunk.Index] = Chunk.Bytes;
    --Into.Missing;
  }
  if (Into.Missing == 0)
    return this->finish(Chunk.AtOffset);
  if (this->Open.size() > MostOpen)
    this->Open.erase(this->Open.begin());
  return std::nullopt;
}

std::optional<WholeSnapshot> SnapshotAssembler::finish(LogOffset AtOffset) {
  const Partial Done = std::move(this->Open[AtOffset]);
  this->Open.erase(AtOffset);
  WholeSnapshot Result{AtOffset, {}};
  for (const auto &Piece : Done.Pieces)
    Result.Text += *Piece;
  if (checksum(Result.Text) == Done.Checksum)
    return Result;
  ++this->Damaged;
  return std::nullopt;
}

std::vector<SnapshotChunk> chunksOf(LogOffset AtOffset, std::string_view Text,
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
