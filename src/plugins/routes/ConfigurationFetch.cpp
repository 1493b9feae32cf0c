#include "plugins/routes/ConfigurationFetch.h"

#include <utility>

namespace banyanpick {

namespace {

/// A piece that has not come for so long is asked of another peer: several
/// times what one takes over a small link beside others.
constexpr milliseconds PieceComesWithin(200);

/// A larger one is not fetched; none of this size fits a store's record.
constexpr std::uint64_t LargestPacked = 4'000'000;

} // namespace

bool ConfigurationFetch::mayAsk(Time Now) const {
  return this->AskedAt == Never ||
         Now >= this->AskedAt + Duration(PieceComesWithin);
}

ConfigurationAsked ConfigurationFetch::ask(std::uint64_t NewerThan, Time Now) {
  this->AskedAt = Now;
  if (this->Version <= NewerThan) {
    this->Version = 0;
    this->Bytes.clear();
  }
  return {NewerThan, this->Version, this->Bytes.size()};
}

ConfigurationFetch::Progress
ConfigurationFetch::take(const ConfigurationRelayed &Piece, Time Now) {
  if (Piece.Size > LargestPacked || Piece.Version < this->Version)
    return {};
  if (Piece.Version > this->Version && Piece.From == 0) {
    this->Version = Piece.Version;
    this->Bytes.clear();
  }
  const bool IsNext =
      Piece.Version == this->Version && Piece.From == this->Bytes.size();
  if (!IsNext)
    return {};
  this->Bytes += Piece.Piece;
  this->AskedAt = Now;
  if (this->Bytes.size() < Piece.Size)
    return {!Piece.Piece.empty(), std::nullopt};
  this->AskedAt = Never;
  this->Version = 0;
  return {false, std::exchange(this->Bytes, {})};
}

} // namespace banyanpick
