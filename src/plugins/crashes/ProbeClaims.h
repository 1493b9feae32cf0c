/// \file
/// Decides which host sends a probe of suspected contents, and when.
#pragma once

#include "base/StrongId.h"
#include "base/Time.h"
#include "plugins/crashes/CrashTracker.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace banyanpick {

/// A request that would be the probe of the suspected contents in it.
struct ProbeRequest {
  RequestId Request;
  std::vector<Fingerprint> Suspects;
  /// Further contents of it that crashed engines, too few for a suspicion.
  std::size_t Others = 0;
  Time EarliestAt{}; ///< Equal on all hosts, but for the time of messages.
};

/// A probe is a request with suspected contents that one host of all sends,
/// once. From the earliest time on, the hosts may send it in turn, one in each
/// slot; the order of hosts follows from the content, so that they agree
/// without a message. A host has at most one probe of a content under way.
class ProbeClaims {
public:
  /// Returns whether the request is the probe from now on. \p Peers are the
  /// live hosts without \p Self.
  bool claim(const ProbeRequest &Wanted, const HostId &Self,
             std::span<const HostId> Peers, Time Now);
  /// How the request probes contents.
  ProbeKind kindOf(const RequestId &Request) const;

  /// An attempt of the request was sent.
  void sent(const RequestId &Request);
  /// An attempt of the request ended; with \p WasLost its engine may have
  /// crashed. Returns whether it was a probe.
  bool ended(const RequestId &Request, bool WasLost, Time Now);

private:
  struct Claim {
    RequestId Request;
    ProbeKind Kind = ProbeKind::None;
    Time ClaimedAt{};
    bool IsSent = false;
  };

  void removeExpired(Time Now);
  bool isFree(std::span<const Fingerprint> Suspects, Time Now) const;

  /// Keyed by each suspected content of the request.
  std::map<Fingerprint, Claim> Claims;
  /// Contents whose probe was lost here, and until when they wait for the
  /// evidence whether its engine crashed.
  std::map<Fingerprint, Time> PausedUntil;
};

} // namespace banyanpick
