/// \file
/// The plug-in that takes memory on groups of engines for prompts that no
/// single engine can hold.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/groups/GroupTaking.h"

#include <unordered_map>

namespace banyanpick {

/// Provides GroupHolder. All or nothing: one refusal lets everything go; a
/// bounded number of groups is taken or held at once, a bounded number of
/// tries is made, and every hold bears the request's deadline.
class GroupsPlugin : public Plugin, public GroupHolder, public FleetObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override;
  void checkInvariants(InvariantMonitor &Monitor, Time Now) const override;

  void acquire(const Request &Asked, const Selected &Choice, Time Now,
               Actions &Out) override;
  void release(const RequestId &Id, Time Now, Actions &Out) override;

  void upstreamChanged(const Upstream &Changed, Time Now,
                       Actions &Out) override;

private:
  void wake(Time Now, Actions &Out);
  void begin(GroupTaking &Group, Time Now, Actions &Out);
  void askNext(GroupTaking &Group, Time Now, Actions &Out);
  void answered(const HoldAnswered &Answer, Time Now, Actions &Out);
  void refused(GroupTaking &Group, std::string_view Why, Time Now,
               Actions &Out);
  void letGo(GroupTaking &Group, Actions &Out);
  void decide(const RequestId &Id, std::span<const HoldId> Holds, Time Now,
              Actions &Out);
  void releaseStrays(const LoadReport &Report, Actions &Out);
  std::size_t active() const;

  Services *Offered = nullptr;
  Random *Numbers = nullptr;
  Incarnation SelfLife;
  std::size_t MostAtOnce = 0;
  std::uint32_t MostTries = 0;
  Duration AnswerTimeout{};
  Duration RetryPause{};
  std::uint64_t HoldsMade = 0;
  std::map<RequestId, GroupTaking> Groups;
};

} // namespace banyanpick
