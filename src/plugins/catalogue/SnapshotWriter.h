/// \file
/// Decides when this host writes a snapshot of the catalogue to the log.
#pragma once

#include "base/Random.h"
#include "kernel/Services.h"

namespace banyanpick {

struct SnapshotWriterOptions {
  Duration Interval{};        ///< Between two snapshots of the deployment.
  std::size_t ChunkBytes = 0; ///< Most bytes of one record.
};

/// A snapshot is due when none was read for the interval, a quarter of the
/// retention, so that several whole ones are always kept. Records carry no
/// time, so the age of those read at the start is not known: a new host waits
/// a random part of an eighth of the interval and then writes one unless it
/// sees another's. Live hosts take turns by rendezvous rank, so that usually
/// only one writes; two at once do no harm.
class SnapshotWriter {
public:
  SnapshotWriter(HostId Self, SnapshotWriterOptions Options, Random &Rng)
      : Self(std::move(Self)), Options(Options), Rng(Rng) {}

  /// The catalogue became complete; the first snapshot is planned.
  void scheduleFirst(Time Now);

  /// A whole snapshot was read in the log.
  void noteSnapshotRead(LogOffset AtOffset, Time Now);

  /// Appends a snapshot of \p Source when this host's turn has come.
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
  bool IsTurnScheduled = false; ///< DueAt counts this host's rank already.
};

} // namespace banyanpick
