/// \file
/// All admitted requests of this host, found by id, attempt, resume token and
/// time limit.
#pragma once

#include "plugins/requests/RunningRequest.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace banyanpick {

class RunningRequests {
public:
  /// References stay valid until the request is removed.
  RunningRequest &add(RunningRequest Admitted);
  void remove(const RequestId &Id);

  RunningRequest *find(const RequestId &Id);
  const RunningRequest *find(const RequestId &Id) const;
  RunningRequest *findByAttempt(const AttemptId &Id);
  const RunningRequest *findByAttempt(const AttemptId &Id) const;
  /// The tries that run on that life of the upstream, in their order.
  std::vector<AttemptId> attemptsOn(const UpstreamId &Id,
                                    Incarnation Life) const;
  RunningRequest *findByToken(const std::string &ResumeToken);

  /// The request now runs as this attempt; forgets an earlier one.
  void setAttempt(RunningRequest &Entry, Attempt Started);
  /// The request runs nowhere and is in this phase.
  void setPhase(RunningRequest &Entry, RequestPhase Phase);
  /// Nobody is connected; gives up at \p When. Nothing: somebody is.
  void setAbandonAt(RunningRequest &Entry, std::optional<Time> When);

  /// The requests whose deadline or abandonment has come, earliest first.
  std::vector<RequestId> expired(Time Now) const;
  /// The earliest deadline or abandonment.
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
