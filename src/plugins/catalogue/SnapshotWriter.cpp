/// \file
#include "plugins/catalogue/SnapshotWriter.h"

#include "base/EventNumbers.h"
#include "base/RendezvousHash.h"
#include "plugins/catalogue/SnapshotAssembler.h"
#include "plugins/catalogue/SnapshotText.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// A new host writes its first snapshot within the interval divided by this.
constexpr int FirstDelayDivisor = 8;
/// The turns of two hosts are the interval divided by this apart.
constexpr int TurnDivisor = 16;
/// All later turns coincide with this one.
constexpr std::size_t MaxTurns = 8;
/// A snapshot of this host that was not read back is repeated after the
/// interval divided by this.
constexpr int RepeatDivisor = 4;

} // namespace

void SnapshotWriter::scheduleFirst(Time Now) {
  if (this->DueAt != Never)
    return;
  const double Fraction = this->Rng.fraction() / FirstDelayDivisor;
  this->DueAt = Now + fromSeconds(inSeconds(this->Options.Interval) * Fraction);
}

void SnapshotWriter::noteSnapshotRead(LogOffset AtOffset, Time Now) {
  this->LastOffset = std::max(this->LastOffset, AtOffset);
  this->IsTurnScheduled = false;
  if (this->DueAt != Never)
    this->DueAt = Now + this->Options.Interval;
}

void SnapshotWriter::writeWhenDue(const Catalogue &Source,
                                  const MembershipView *Members, LogWriter &Log,
                                  Time Now, Actions &Out) {
  if (Now < this->DueAt)
    return;
  const std::size_t Rank = this->rank(Members);
  if (!this->IsTurnScheduled && Rank > 0) {
    this->IsTurnScheduled = true;
    this->DueAt = Now + this->Options.Interval / TurnDivisor *
                            static_cast<int>(std::min(Rank, MaxTurns));
    return;
  }
  this->DueAt = Now + this->Options.Interval / RepeatDivisor;
  if (!Log.isReachable(Now))
    return;
  const auto Chunks = splitIntoChunks(
      Source.offset(), serializeSnapshot(Source), this->Options.ChunkBytes);
  for (const SnapshotChunk &Chunk : Chunks)
    Log.append(Chunk, Now, Out);
  Out.log(logEvent(events::SnapshotWritten)
              .with("offset", Source.offset())
              .with("chunks", Chunks.size())
              .build());
}

std::size_t SnapshotWriter::rank(const MembershipView *Members) const {
  if (!Members)
    return 0;
  const std::string Round = "snapshot " + std::to_string(this->LastOffset);
  const std::uint64_t Own = rendezvousWeight(Round, this->Self.Value);
  const auto Live = Members->livePeers();
  return static_cast<std::size_t>(
      std::count_if(Live.begin(), Live.end(), [&](const HostId &Peer) {
        return rendezvousWeight(Round, Peer.Value) > Own;
      }));
}

} // namespace banyanpick
