/// \file
/// Who may give orders to an engine, and when.
#pragma once

#include "kernel/LogRecord.h"
#include "kernel/Services.h"

#include <unordered_map>

namespace banyanpick {

/// Lengths that keep two stewards' orders apart.
struct LeaseTerms {
  Duration Length{};
  Duration LongestDelivery{}; ///< An order sent arrives within this.
};

/// The right to give orders to one engine until a time.
struct OrderWindow {
  LogOffset Fencing = 0;
  Time Until{};
};

/// Leases as the log tells of them. The holder uses the first half of a lease,
/// counted by its own clock from before it asked for it, so that it began no
/// later than anybody read of it. For engines that ignore fencing numbers any
/// other host waits until lease and longest delivery are over, counted by its
/// own clock from when it read of it.
class LeaderLeases {
public:
  LeaderLeases() = default;
  LeaderLeases(Incarnation Self, LeaseTerms Terms) : Self(Self), Terms(Terms) {}

  /// This host has asked for a lease; its record is on its way to the log.
  void noteRequested(const UpstreamId &Engine, const RecordId &Record,
                     Time Now);
  /// The record did not get into the log.
  void noteRefused(const RecordId &Record);
  void noteRead(const StoredRecord &Record, Time Now);
  /// Leases before now may have been missed.
  void noteMissedRecords(Time Now);
  /// The engine knows a higher fencing number than ours.
  void invalidate(const UpstreamId &Engine);

  /// The window in which this host may order the engine now, if any.
  std::optional<OrderWindow> window(const UpstreamId &Engine,
                                    bool ChecksFencing, Time Now) const;
  /// Whether asking for a lease may help: none is usable or on its way.
  bool shouldRequest(const UpstreamId &Engine, bool ChecksFencing,
                     Time Now) const;
  Duration length() const { return this->Terms.Length; }

private:
  struct EngineLease {
    LogOffset Offset = 0;
    std::uint32_t Position = 0;
    bool IsOwn = false;
    Time UsableUntil{};     ///< Own leases only.
    Time OthersUntil{};     ///< Others' orders may arrive until then.
    RecordId PendingRecord; ///< Sequence 0: nothing is on its way.
    Time RequestedAt{};
  };

  Time othersUntil(const EngineLease &Lease) const;

  Incarnation Self;
  LeaseTerms Terms;
  Time MissedUntil{}; ///< Of leases that were not read.
  std::unordered_map<UpstreamId, EngineLease> Engines;
};

} // namespace banyanpick
