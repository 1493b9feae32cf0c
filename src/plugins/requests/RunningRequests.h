/// \file
/// All admitted requests of this host, indexed by id, attempt, resume token and
/// expiry.
#pragma once

#include "plugins/requests/RunningRequest.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace banyanpick {

/// The table of admitted requests.
class RunningRequests {
public:
  /// References stay valid until the request is removed.
  RunningRequest &add(RunningRequest Admitted);
  void remove(const RequestId &Id);

  RunningRequest *find(const RequestId &Id);
  const RunningRequest *find(const RequestId &Id) const;
  RunningRequest *findByAttempt(const AttemptId &Id);
  const RunningRequest *findByAttempt(const AttemptId &Id) const;
  /// Returns the attempts that run on that incarnation of the upstream, in the
  /// order of their requests' ids.
  std::vector<AttemptId> attemptsOn(const UpstreamId &Id,
                                    Incarnation Life) const;
  RunningRequest *findByToken(const std::string &ResumeToken);

  /// Sets the running attempt and removes an earlier one.
  void setAttempt(RunningRequest &Entry, Attempt Started);
  /// Sets the phase and removes the running attempt.
  void setPhase(RunningRequest &Entry, RequestPhase Phase);
  /// Sets when the stream is given up because no caller is connected, or
  /// nothing if a caller is.
  void setAbandonAt(RunningRequest &Entry, std::optional<Time> When);

  /// Returns the requests that have expired, earliest first. A request expires
  /// at its deadline or when its stream is given up.
  std::vector<RequestId> expired(Time Now) const;
  /// Returns the earliest expiry.
  Time nextExpiry() const;

  std::size_t size() const { return this->ById.size(); }
  std::vector<RequestId> ids() const;

private:
  using Expiry = std::pair<Time, RequestId>;

  std::map<RequestId, RunningRequest> ById;
  std::unordered_map<AttemptId, RequestId> ByAttempt;
  std::unordered_map<std::string, RequestId> ByResumeToken;
  std::set<Expiry> Expiries;
};

} // namespace banyanpick
