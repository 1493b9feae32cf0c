/// \file
/// The plug-in that reserves memory on groups of engines for prompts that don't
/// fit into the memory of a single engine.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/groups/GroupReservation.h"

#include <unordered_map>

namespace banyanpick {

/// Provides GroupHolder. A reservation is all or nothing: one refusal releases
/// all holds of the group. The number of concurrent groups and the number of
/// attempts are bounded, and every hold has the deadline of its request.
class GroupsPlugin : public Plugin, public GroupHolder, public FleetObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &Incoming, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  void acquire(const Request &ClientRequest, const Selected &Choice, Time Now,
               Actions &Out) override;
  void release(const RequestId &Id, Time Now, Actions &Out) override;

  void upstreamChanged(const Upstream &Changed, Time Now,
                       Actions &Out) override;

private:
  void wake(Time Now, Actions &Out);
  void startAttempt(GroupReservation &Group, Time Now, Actions &Out);
  void requestNextHold(GroupReservation &Group, Time Now, Actions &Out);
  void handleAnswer(const HoldAnswered &Answer, Time Now, Actions &Out);
  void handleRefusal(GroupReservation &Group, std::string_view Why, Time Now,
                     Actions &Out);
  void releaseHolds(GroupReservation &Group, Actions &Out);
  void notifyDecision(const RequestId &Id, std::span<const HoldId> Holds,
                      Time Now, Actions &Out);
  void releaseOrphans(const LoadReport &Report, Actions &Out);
  std::size_t active() const;

  Services *Registry = nullptr;
  Random *Rng = nullptr;
  Incarnation SelfLife;
  std::size_t MaxConcurrentGroups = 0;
  std::uint32_t MaxAttempts = 0;
  Duration AnswerTimeout{};
  Duration RetryPause{};
  std::uint64_t HoldSequence = 0;
  std::map<RequestId, GroupReservation> Groups;
};

} // namespace banyanpick
