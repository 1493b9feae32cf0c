/// \file
/// Cancels that an upstream has not confirmed yet.
#pragma once

#include "kernel/Services.h"

#include <set>
#include <unordered_map>

namespace banyanpick {

/// Repeats each cancel, ever less often, until it is confirmed, the upstream
/// has another life, or the attempt's deadline is long past. Bounded in
/// number: what is dropped is found again by the steward of the engine.
class PendingCancels {
public:
  void add(const AttemptId &Id, const Upstream &Target, Time Deadline, Time Now,
           Actions &Out);
  void confirm(const AttemptId &Id);
  /// The memory of an earlier life went with its process.
  void noteIncarnation(const UpstreamId &Target, Incarnation Life);
  void resendDue(const FleetView &Fleet, Time Now, Actions &Out);

  Time nextDue() const;
  bool contains(const AttemptId &Id) const {
    return this->Cancels.contains(Id);
  }
  std::size_t size() const { return this->Cancels.size(); }
  /// The attempts not confirmed yet, in no order.
  std::vector<AttemptId> ids() const;

private:
  struct PendingCancel {
    UpstreamId Target;
    Incarnation Life;
    Time ExpiresAt{};
    Time NextAttemptAt{};
    Duration RetryDelay{};
  };

  void erase(const AttemptId &Id);
  void schedule(const AttemptId &Id, PendingCancel &Cancel, Time Now);

  std::unordered_map<AttemptId, PendingCancel> Cancels;
  std::set<std::pair<Time, AttemptId>> Schedule;
};

} // namespace banyanpick
