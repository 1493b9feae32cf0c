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
  void add(const AttemptId &Id, const Upstream &Where, Time Deadline, Time Now,
           Actions &Out);
  void confirm(const AttemptId &Id);
  /// The memory of an earlier life went with its process.
  void noteLife(const UpstreamId &Where, Incarnation Life);
  void repeat(const FleetView &Fleet, Time Now, Actions &Out);

  Time nextDue() const;
  bool contains(const AttemptId &Id) const { return this->Items.contains(Id); }
  std::size_t size() const { return this->Items.size(); }
  /// The attempts not confirmed yet, in no order.
  std::vector<AttemptId> ids() const;

private:
  struct Item {
    UpstreamId Where;
    Incarnation Life;
    Time GiveUpAt{};
    Time NextTry{};
    Duration Wait{};
  };

  void erase(const AttemptId &Id);
  void plan(const AttemptId &Id, Item &Of, Time Now);

  std::unordered_map<AttemptId, Item> Items;
  std::set<std::pair<Time, AttemptId>> Due;
};

} // namespace banyanpick
