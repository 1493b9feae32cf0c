#include "plugins/routes/ConfigurationFetch.h"

#include <utility>

namespace banyanpick {

namespace {

/// After this time a chunk is requested from another peer. It is several times
/// the transfer time of a chunk over a small link with other traffic.
constexpr milliseconds ChunkTimeout(200);

/// A larger document is not fetched; none of this size fits into a record of
/// the store.
constexpr std::uint64_t MaxPackedBytes = 4'000'000;

} // namespace

bool ConfigurationFetch::mayRequest(Time Now) const {
  return this->RequestedAt == Never ||
         Now >= this->RequestedAt + Duration(ChunkTimeout);
}

ConfigurationRequest ConfigurationFetch::makeRequest(std::uint64_t NewerThan,
                                                     Time Now) {
  this->RequestedAt = Now;
  if (this->Version <= NewerThan) {
    this->Version = 0;
    this->Bytes.clear();
  }
  return {NewerThan, this->Version, this->Bytes.size()};
}

ConfigurationFetch::Progress
ConfigurationFetch::addChunk(const ConfigurationRelayed &Chunk, Time Now) {
  if (Chunk.Size > MaxPackedBytes || Chunk.Version < this->Version)
    return {};
  if (Chunk.Version > this->Version && Chunk.From == 0) {
    this->Version = Chunk.Version;
    this->Bytes.clear();
  }
  const bool IsNext =
      Chunk.Version == this->Version && Chunk.From == this->Bytes.size();
  if (!IsNext)
    return {};
  this->Bytes += Chunk.Chunk;
  this->RequestedAt = Now;
  if (this->Bytes.size() < Chunk.Size)
    return {!Chunk.Chunk.empty(), std::nullopt};
  this->RequestedAt = Never;
  this->Version = 0;
  return {false, std::exchange(this->Bytes, {})};
}

} // namespace banyanpick
