/// \file
/// Schedules the snapshots of the catalogue that this host writes to the log.
#pragma once

#include "base/Random.h"
#include "kernel/Services.h"

namespace banyanpick {

struct SnapshotWriterOptions {
  Duration Interval{};        ///< Between two snapshots of the deployment.
  std::size_t ChunkBytes = 0; ///< Maximum size of one record.
};

/// A snapshot is due when none was read for the interval, which is a quarter of
/// the retention, so that the log always holds several complete snapshots.
/// Records carry no time, so the age of those read at the start is unknown. A
/// new host therefore waits a random part of an eighth of the interval and then
/// writes a snapshot unless it reads one from another host. Live hosts take
/// turns by rendezvous rank, so usually only one writes. Two concurrent
/// snapshots have no ill effect.
class SnapshotWriter {
public:
  SnapshotWriter(HostId Self, SnapshotWriterOptions Options, Random &Rng)
      : Self(std::move(Self)), Options(Options), Rng(Rng) {}

  /// Schedules the first snapshot. Called when the catalogue became complete.
  void scheduleFirst(Time Now);

  /// Called when a complete snapshot was read from the log.
  void noteSnapshotRead(LogOffset AtOffset, Time Now);

  /// Appends a snapshot of \p Source when it is this host's turn.
  void writeWhenDue(const Catalogue &Source, const MembershipView *Members,
                    LogWriter &Log, Time Now, Actions &Out);

  Time nextWake() const { return this->DueAt; }

private:
  std::size_t rank(const MembershipView *Members) const;

  HostId Self;
  SnapshotWriterOptions Options;
  Random &Rng;
  LogOffset LastOffset = 0;
  Time DueAt = Never;
  bool IsTurnScheduled = false; ///< DueAt already includes this host's rank.
};

} // namespace banyanpick
