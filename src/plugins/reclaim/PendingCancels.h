/// \file
/// Tracks cancels that an upstream has not confirmed yet.
#pragma once

#include "kernel/Services.h"

#include <set>
#include <unordered_map>

namespace banyanpick {

/// Repeats each cancel with exponential backoff until the cancel is confirmed,
/// the upstream has restarted, or the attempt's deadline is long past. The
/// number of cancels is bounded. The leader of the engine finds the memory of
/// dropped cancels again.
class PendingCancels {
public:
  void add(const AttemptId &Id, const Upstream &Target, Time Deadline, Time Now,
           Actions &Out);
  void confirm(const AttemptId &Id);
  /// Drops cancels of earlier incarnations, whose memory ended with the
  /// process.
  void noteIncarnation(const UpstreamId &Target, Incarnation Life);
  void resendDue(const FleetView &Fleet, Time Now, Actions &Out);

  Time nextDue() const;
  bool contains(const AttemptId &Id) const {
    return this->Cancels.contains(Id);
  }
  std::size_t size() const { return this->Cancels.size(); }
  /// Returns the unconfirmed attempts in unspecified order.
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
