/// \file
/// Lends room at one engine that names how many requests it takes.
///
/// The load that it answers: many hosts send to an engine in need, each a part
/// of what it takes. An even division would leave most of it with hosts that
/// have nothing to send; here whoever has a request asks for room when it needs
/// it.
#pragma once

#include "base/Time.h"
#include "kernel/Services.h"

#include <deque>
#include <optional>
#include <vector>

namespace banyanpick {

/// Room for requests, told to the host that asked.
struct QuotaLease {
  HostId To;
  std::uint64_t Number = 0; ///< Of the ask that it answers.
  std::uint32_t Count = 0;  ///< Requests that may be sent.
};

/// A token bucket whose tokens are lent. At any instant no more room is out
/// than the bucket had, so hosts that die, freeze or are cut off with room of
/// theirs lose it, and the engine never gets more. Room that comes back unused
/// is lent again.
class QuotaAllocator {
public:
  /// Nothing is lent before \p From.
  QuotaAllocator(double PerSecond, Time From);

  void setRate(double PerSecond, Time Now);
  /// The host wants room for so many requests; a newer ask replaces an older
  /// one and keeps its place.
  void request(const HostId &From, std::uint64_t Number, std::uint32_t Count,
               Time Now);
  /// Room of that loan was not used. Once for each loan.
  void returnUnused(const HostId &From, std::uint64_t Number,
                    std::uint32_t Count, Time Now);
  /// What can be lent now, to those first who have waited longest.
  std::vector<QuotaLease> allocate(Time Now);

  /// Until there may be room for the host; nothing when it does not wait.
  std::optional<Duration> waitOf(const HostId &Host, Time Now) const;
  /// When the first of those that wait may get room; Never when nobody waits.
  Time nextAllocation() const;

private:
  struct Asker {
    HostId Host;
    std::uint64_t Number = 0;
    std::uint32_t Count = 0;
    Time LastAt{};
  };

  /// Room that a host may still give back.
  struct Outstanding {
    QuotaLease Of;
    Time At{};
  };

  double burst() const;
  void accrue(Time Now);
  /// Until the bucket holds so much.
  Duration until(double Room) const;

  double PerSecond = 0;
  double Room = 1;
  Time CountedTo{};
  std::deque<Asker> Waiting;
  std::deque<Outstanding> Lent;
};

/// So much of an engine's limit may be sent at once: what it allows in this
/// time, or MinBurst.
inline constexpr milliseconds BurstTime(100);
inline constexpr double MinBurst = 2;

/// An engine that takes next to nothing still gets a request now and then, as
/// only an answer shows that its limit has ended.
inline constexpr double MinRate = 0.25;

/// A host that still wants room repeats its ask in less time; what is older is
/// not answered any more, so that room never waits for a host that is gone.
inline constexpr milliseconds RequestTtl(500);

} // namespace banyanpick
