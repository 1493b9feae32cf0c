#include "plugins/groups/GroupsPlugin.h"

#include "base/EventNumbers.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

void GroupsPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Offered = &Context.services();
  this->Numbers = &Context.random();
  this->SelfLife = Context.self().Life;
  this->MostAtOnce =
      static_cast<std::size_t>(Values.whole("groups", "most_at_once"));
  this->MostTries =
      static_cast<std::uint32_t>(Values.whole("groups", "most_tries"));
  this->AnswerTimeout = Values.span("groups", "answer_timeout");
  this->RetryPause = Values.span("groups", "retry_pause");
  Context.services().provide<GroupHolder>(*this);
  Context.services().list<FleetObserver>().add(*this);
}

void GroupsPlugin::handle(const Event &What, Time Now, Actions &Out) {
  if (const auto *Answer = std::get_if<HoldAnswered>(&What))
    this->answered(*Answer, Now, Out);
  if (const auto *Reported = std::get_if<LoadReported>(&What))
    this->releaseStrays(Reported->Report, Out);
  if (Now >= this->nextWake())
    this->wake(Now, Out);
}

Time GroupsPlugin::nextWake() const {
  Time Earliest = Never;
  for (const auto &[Id, Group] : this->Groups)
    if (Group.Is != GroupTaking::State::Taken)
      Earliest = std::min(Earliest, Group.Due);
  return Earliest;
}

void GroupsPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  Monitor.require(this->active() <= this->MostAtOnce,
                  "the number of groups at once is bounded");
}

void GroupsPlugin::acquire(const Request &Asked, const Selected &Choice,
                           Time Now, Actions &Out) {
  this->release(Asked.id(), Now, Out);
  GroupTaking &Group = this->Groups[Asked.id()];
  Group = GroupTaking::of(Asked, Choice);
  Group.Due = Now;
  if (this->active() < this->MostAtOnce)
    this->begin(Group, Now, Out);
  else
    Group.Due = Now + this->RetryPause;
}

void GroupsPlugin::release(const RequestId &Id, Time, Actions &Out) {
  const auto Found = this->Groups.find(Id);
  if (Found == this->Groups.end())
    return;
  this->letGo(Found->second, Out);
  this->Groups.erase(Found);
}

void GroupsPlugin::upstreamChanged(const Upstream &Changed, Time Now,
                                   Actions &Out) {
  if (Changed.State != UpstreamState::Dead)
    return;
  std::vector<RequestId> Hit;
  for (const auto &[Id, Group] : this->Groups)
    for (const GroupMember &Each : Group.Members)
      if (Each.Engine == Changed.Listing.Id &&
          Group.Is == GroupTaking::State::Taking)
        Hit.push_back(Id);
  for (const RequestId &Id : Hit)
    this->decide(Id, {}, Now, Out);
}

void GroupsPlugin::wake(Time Now, Actions &Out) {
  std::vector<RequestId> DueNow;
  for (const auto &[Id, Group] : this->Groups)
    if (Group.Is != GroupTaking::State::Taken && Group.Due <= Now)
      DueNow.push_back(Id);
  for (const RequestId &Id : DueNow) {
    const auto Found = this->Groups.find(Id);
    if (Found == this->Groups.end())
      continue;
    GroupTaking &Group = Found->second;
    if (Group.Is == GroupTaking::State::Taking)
      this->refused(Group, "timeout", Now, Out);
    else if (this->active() < this->MostAtOnce)
      this->begin(Group, Now, Out);
    else
      Group.Due = Now + this->RetryPause;
  }
}

void GroupsPlugin::begin(GroupTaking &Group, Time Now, Actions &Out) {
  Group.Is = GroupTaking::State::Taking;
  ++Group.Tries;
  this->askNext(Group, Now, Out);
}

void GroupsPlugin::askNext(GroupTaking &Group, Time Now, Actions &Out) {
  GroupMember *Next = Group.next();
  if (!Next) {
    Group.Is = GroupTaking::State::Taken;
    Out.count("groups_taken");
    Out.log(logEvent(events::GroupAcquired)
                .with("request", Group.Owner.Value)
                .with("engines", Group.Members.size())
                .with("tokens_each", Group.TokensEach)
                .with("tries", Group.Tries)
                .build());
    const std::vector<HoldId> Holds = Group.holds();
    this->decide(Group.Owner, Holds, Now, Out);
    return;
  }
  const Upstream *Engine = this->Offered->get<FleetView>().find(Next->Engine);
  if (!Engine || Engine->State != UpstreamState::Live) {
    this->refused(Group, "not live", Now, Out);
    return;
  }
  Next->Hold = HoldId{this->SelfLife, ++this->HoldsMade};
  Next->Is = GroupMember::State::Asked;
  Group.Due = Now + this->AnswerTimeout;
  Out.add(TakeHold{Next->Hold, Next->Engine, Engine->Listing.At,
                   Group.TokensEach, Group.Deadline});
}

void GroupsPlugin::answered(const HoldAnswered &Answer, Time Now,
                            Actions &Out) {
  for (auto &[Id, Group] : this->Groups) {
    GroupMember *Member = Group.find(Answer.Hold);
    if (!Member || Group.Is != GroupTaking::State::Taking)
      continue;
    if (Answer.Result == HoldResult::Granted) {
      Member->Is = GroupMember::State::Granted;
      this->askNext(Group, Now, Out);
    } else {
      this->refused(Group, "refused", Now, Out);
    }
    return;
  }
}

void GroupsPlugin::refused(GroupTaking &Group, std::string_view Why, Time Now,
                           Actions &Out) {
  this->letGo(Group, Out);
  Out.count("groups_refused", Why);
  Out.log(logEvent(events::GroupRefused)
              .with("request", Group.Owner.Value)
              .with("why", Why)
              .with("tries", Group.Tries)
              .build());
  if (Group.Tries >= this->MostTries) {
    this->decide(Group.Owner, {}, Now, Out);
    return;
  }
  // Spread, so that groups that met do not meet again.
  Group.Is = GroupTaking::State::Waiting;
  Group.Due = Now + fromSeconds(inSeconds(this->RetryPause) *
                                (0.5 + this->Numbers->fraction()));
}

void GroupsPlugin::letGo(GroupTaking &Group, Actions &Out) {
  for (GroupMember &Each : Group.Members) {
    if (Each.Is == GroupMember::State::Wanted)
      continue;
    Each.Is = GroupMember::State::Wanted;
    if (const Upstream *Engine =
            this->Offered->get<FleetView>().find(Each.Engine))
      Out.add(ReleaseHold{Each.Hold, Each.Engine, Engine->Listing.At});
  }
}

void GroupsPlugin::decide(const RequestId &Id, std::span<const HoldId> Holds,
                          Time Now, Actions &Out) {
  if (Holds.empty())
    this->release(Id, Now, Out);
  for (GroupObserver *Each : this->Offered->list<GroupObserver>().all())
    Each->groupDecided(Id, Holds, Now, Out);
}

void GroupsPlugin::releaseStrays(const LoadReport &Report, Actions &Out) {
  const Upstream *Engine = nullptr;
  for (const HoldReport &Each : Report.Holds) {
    if (Each.Kind != HoldKind::GroupHold ||
        Each.OwnerLife != this->SelfLife.Value)
      continue;
    const HoldId Hold{this->SelfLife, Each.Sequence};
    const bool Wanted =
        std::any_of(this->Groups.begin(), this->Groups.end(),
                    [&Hold](auto &Group) { return Group.second.find(Hold); });
    if (Wanted)
      continue;
    if (!Engine)
      Engine = this->Offered->get<FleetView>().find(Report.Id);
    if (Engine)
      Out.add(ReleaseHold{Hold, Report.Id, Engine->Listing.At});
  }
}

std::size_t GroupsPlugin::active() const {
  return static_cast<std::size_t>(std::count_if(
      this->Groups.begin(), this->Groups.end(), [](const auto &Each) {
        return Each.second.Is != GroupTaking::State::Waiting;
      }));
}

namespace {

std::vector<SettingDeclaration> settings() {
  const std::string In = "groups";
  return {
      {In, "most_at_once", SettingKind::Whole, "2",
       "How many groups of engines this host takes or holds at once.", 1, 64},
      {In, "most_tries", SettingKind::Whole, "4",
       "How often a group is tried before its request waits anew.", 1, 100},
      {In, "answer_timeout", SettingKind::Span, "500ms",
       "How long an engine may take to answer a hold.", 1e3, 60e6},
      {In, "retry_pause", SettingKind::Span, "200ms",
       "Pause before a refused group is tried again, spread by half.", 1e3,
       60e6},
  };
}

const PluginRegistration Registration(
    {"groups", {"fleet"}, settings, []() -> std::unique_ptr<Plugin> {
       return std::make_unique<GroupsPlugin>();
     }});

} // namespace

} // namespace banyanpick
