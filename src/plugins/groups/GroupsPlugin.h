/// \file
/// The plug-in that takes memory on groups of engines for prompts that no
/// single engine can hold.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/groups/GroupReservation.h"

#include <unordered_map>

namespace banyanpick {

/// Provides GroupHolder. All or nothing: one refusal lets everything go; a
/// bounded number of groups is taken or held at once, a bounded number of
/// tries is made, and every hold bears the request's deadline.
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

  Services *Offered = nullptr;
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
