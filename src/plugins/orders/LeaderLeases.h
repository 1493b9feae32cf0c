/// \file
/// Tracks which host may send orders to an engine, and when.
#pragma once

#include "kernel/LogRecord.h"
#include "kernel/Services.h"

#include <unordered_map>

namespace banyanpick {

/// Durations that keep the orders of two leaders apart.
struct LeaseTerms {
  Duration Length{};
  Duration LongestDelivery{}; ///< A sent order arrives within this.
};

/// The right to send orders to one engine until a point in time.
struct OrderWindow {
  LogOffset Fencing = 0;
  Time Until{};
};

/// Tracks the leases recorded in the log. The holder uses the first half of a
/// lease, measured by its own clock from the time of the request, so that the
/// lease starts no later than any host read its record. For engines that ignore
/// fencing numbers, every other host waits until the lease and the longest
/// delivery time are over, measured by its own clock from reading the record.
class LeaderLeases {
public:
  LeaderLeases() = default;
  LeaderLeases(Incarnation Self, LeaseTerms Terms) : Self(Self), Terms(Terms) {}

  /// Called after this host queued the lease record \p Record for the log.
  void noteRequested(const UpstreamId &Engine, const RecordId &Record,
                     Time Now);
  /// Called when the record was not appended to the log.
  void noteRefused(const RecordId &Record);
  void noteRead(const StoredRecord &Record, Time Now);
  /// Called when lease records before now may have been missed.
  void noteMissedRecords(Time Now);
  /// Called when the engine knows a higher fencing number than this host's.
  void invalidate(const UpstreamId &Engine);

  /// Returns the window in which this host may send orders now, if any.
  std::optional<OrderWindow> window(const UpstreamId &Engine,
                                    bool ChecksFencing, Time Now) const;
  /// Whether to request a lease: none is usable, and none is pending.
  bool shouldRequest(const UpstreamId &Engine, bool ChecksFencing,
                     Time Now) const;
  Duration length() const { return this->Terms.Length; }

private:
  struct EngineLease {
    LogOffset Offset = 0;
    std::uint32_t Position = 0;
    bool IsOwn = false;
    Time UsableUntil{};     ///< Own leases only.
    Time OthersUntil{};     ///< Orders of other hosts may arrive until then.
    RecordId PendingRecord; ///< Sequence 0: no request is pending.
    Time RequestedAt{};
  };

  Time othersUntil(const EngineLease &Lease) const;

  Incarnation Self;
  LeaseTerms Terms;
  Time MissedUntil{}; ///< End of leases whose records were missed.
  std::unordered_map<UpstreamId, EngineLease> Engines;
};

} // namespace banyanpick
