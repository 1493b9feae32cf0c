/// \file
/// Allocation of one engine's request quota to hosts.
///
/// Many hosts send to a limited engine, each a part of the load. An even
/// division would leave most of the quota with hosts that have nothing to send,
/// so a host requests quota when it needs it.
#pragma once

#include "base/Time.h"
#include "kernel/Services.h"

#include <deque>
#include <optional>
#include <vector>

namespace banyanpick {

/// Quota for requests, sent to the host that requested it.
struct QuotaLease {
  HostId To;
  std::uint64_t Number = 0; ///< Number of the request that the lease answers.
  std::uint32_t Count = 0;  ///< Requests that the host may send.
  Duration Waited{};        ///< Since the request arrived.
};

/// Bounds the quota that is leased within any time of the given length and not
/// returned. The length is the window in which the engine counts requests and
/// the time from a lease to the arrival of its last request, so the bound holds
/// for the arrivals in every window.
struct GrantBound {
  double MaxRequests = 0;
  Duration Length{}; ///< At most ReturnWindow.
};

/// A token bucket whose tokens are leased to hosts. The leased quota never
/// exceeds what the bucket held. Hosts that die, freeze or are partitioned lose
/// their quota, and the engine never gets more than its limit. Unused quota
/// that is returned is allocated again.
class QuotaAllocator {
public:
  /// No quota is allocated before \p From.
  QuotaAllocator(double PerSecond, Time From,
                 std::optional<GrantBound> Bound = std::nullopt);

  void setRate(double PerSecond, Time Now);
  /// Registers a request for quota. A newer request of a host replaces the
  /// older one and keeps its position.
  void request(const HostId &From, std::uint64_t Number, std::uint32_t Count,
               Time Now);
  /// Returns unused quota of a lease. Counts once for each lease.
  void returnUnused(const HostId &From, std::uint64_t Number,
                    std::uint32_t Count, Time Now);
  /// Returns the leases that can be granted now, to the longest waiting hosts
  /// first.
  std::vector<QuotaLease> allocate(Time Now);

  /// Returns the expected wait until quota for the host; nothing when the host
  /// does not wait.
  std::optional<Duration> waitOf(const HostId &Host, Time Now) const;
  /// Returns when the first waiting host may get quota; Never when no host
  /// waits.
  Time nextAllocation() const;

private:
  struct Requester {
    HostId Host;
    std::uint64_t Number = 0;
    std::uint32_t Count = 0;
    Time LastRequestAt{};
  };

  /// A lease that the host may still return.
  struct Outstanding {
    QuotaLease Lease;
    Time GrantedAt{};
    bool Returned = false;
  };

  double burst() const;
  void accrue(Time Now);
  /// Returns the time until the bucket holds \p Wanted requests.
  Duration until(double Amount) const;
  /// Returns how many requests may be leased now.
  double available(Time Now) const;
  bool isWithinBound(const Outstanding &Grant, Time Now) const;

  double PerSecond = 0;
  double Quota = 1;
  Time CountedTo{};
  std::optional<GrantBound> Bound;
  std::deque<Requester> Waiting;
  std::deque<Outstanding> Granted;
};

/// The share of an engine's limit that may be sent at once: what it allows in
/// this time, but at least MinBurst.
inline constexpr milliseconds BurstTime(100);
inline constexpr double MinBurst = 2;

/// Lower bound of the rate, in requests a second. An engine with a limit near
/// zero still gets occasional requests, because only an answer shows the end of
/// the limit.
inline constexpr double MinRate = 0.25;

/// Time within which a lease can be returned. An older lease is not taken back,
/// because it may have been used.
inline constexpr seconds ReturnWindow(2);

/// Lifetime of a lease; unused quota is returned afterwards. The time is longer
/// than the gap between two requests of a busy host, and short against the time
/// over which an engine counts its requests.
inline constexpr milliseconds LeaseTtl(400);

/// Lifetime of a quota request. A host that still wants quota repeats its
/// request sooner, so that no quota is reserved for a host that has gone.
inline constexpr milliseconds RequestTtl(500);

} // namespace banyanpick
