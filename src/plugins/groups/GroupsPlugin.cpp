#include "plugins/groups/GroupsPlugin.h"

#include "base/EventNumbers.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

void GroupsPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Registry = &Context.services();
  this->Rng = &Context.random();
  this->SelfLife = Context.self().Life;
  this->MaxConcurrentGroups =
      static_cast<std::size_t>(Values.whole("groups", "most_at_once"));
  this->MaxAttempts =
      static_cast<std::uint32_t>(Values.whole("groups", "most_tries"));
  this->AnswerTimeout = Values.span("groups", "answer_timeout");
  this->RetryPause = Values.span("groups", "retry_pause");
  Context.services().provide<GroupHolder>(*this);
  Context.services().list<FleetObserver>().add(*this);
}

void GroupsPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  if (const auto *Answer = std::get_if<HoldAnswered>(&Incoming))
    this->handleAnswer(*Answer, Now, Out);
  if (const auto *Reported = std::get_if<LoadReported>(&Incoming))
    this->releaseOrphans(Reported->Report, Out);
  if (Now >= this->nextWake())
    this->wake(Now, Out);
}

Time GroupsPlugin::nextWake() const {
  Time Earliest = Never;
  for (const auto &[Id, Group] : this->Groups)
    if (Group.Status != GroupReservation::State::Acquired)
      Earliest = std::min(Earliest, Group.Due);
  return Earliest;
}

void GroupsPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  Monitor.require(this->active() <= this->MaxConcurrentGroups,
                  "the number of groups at once is bounded");
}

void GroupsPlugin::acquire(const Request &ClientRequest, const Selected &Choice,
                           Time Now, Actions &Out) {
  this->release(ClientRequest.id(), Now, Out);
  GroupReservation &Group = this->Groups[ClientRequest.id()];
  Group = GroupReservation::forRequest(ClientRequest, Choice);
  Group.Due = Now;
  if (this->active() < this->MaxConcurrentGroups)
    this->startAttempt(Group, Now, Out);
  else
    Group.Due = Now + this->RetryPause;
}

void GroupsPlugin::release(const RequestId &Id, Time, Actions &Out) {
  const auto Found = this->Groups.find(Id);
  if (Found == this->Groups.end())
    return;
  this->releaseHolds(Found->second, Out);
  this->Groups.erase(Found);
}

void GroupsPlugin::upstreamChanged(const Upstream &Changed, Time Now,
                                   Actions &Out) {
  if (Changed.State != UpstreamState::Dead)
    return;
  std::vector<RequestId> Affected;
  for (const auto &[Id, Group] : this->Groups)
    for (const GroupMember &Member : Group.Members)
      if (Member.Engine == Changed.Listing.Id &&
          Group.Status == GroupReservation::State::Acquiring)
        Affected.push_back(Id);
  for (const RequestId &Id : Affected)
    this->notifyDecision(Id, {}, Now, Out);
}

void GroupsPlugin::wake(Time Now, Actions &Out) {
  std::vector<RequestId> DueNow;
  for (const auto &[Id, Group] : this->Groups)
    if (Group.Status != GroupReservation::State::Acquired && Group.Due <= Now)
      DueNow.push_back(Id);
  for (const RequestId &Id : DueNow) {
    const auto Found = this->Groups.find(Id);
    if (Found == this->Groups.end())
      continue;
    GroupReservation &Group = Found->second;
    if (Group.Status == GroupReservation::State::Acquiring)
      this->handleRefusal(Group, "timeout", Now, Out);
    else if (this->active() < this->MaxConcurrentGroups)
      this->startAttempt(Group, Now, Out);
    else
      Group.Due = Now + this->RetryPause;
  }
}

void GroupsPlugin::startAttempt(GroupReservation &Group, Time Now,
                                Actions &Out) {
  Group.Status = GroupReservation::State::Acquiring;
  ++Group.Attempts;
  this->requestNextHold(Group, Now, Out);
}

void GroupsPlugin::requestNextHold(GroupReservation &Group, Time Now,
                                   Actions &Out) {
  GroupMember *Next = Group.nextNotGranted();
  if (!Next) {
    Group.Status = GroupReservation::State::Acquired;
    Out.count("groups_taken");
    Out.log(logEvent(events::GroupAcquired)
                .with("request", Group.Owner.Value)
                .with("engines", Group.Members.size())
                .with("tokens_each", Group.TokensEach)
                .with("tries", Group.Attempts)
                .build());
    const std::vector<HoldId> Holds = Group.holds();
    this->notifyDecision(Group.Owner, Holds, Now, Out);
    return;
  }
  const Upstream *Engine = this->Registry->get<FleetView>().find(Next->Engine);
  if (!Engine || Engine->State != UpstreamState::Live) {
    this->handleRefusal(Group, "not live", Now, Out);
    return;
  }
  Next->Hold = HoldId{this->SelfLife, ++this->HoldSequence};
  Next->Status = GroupMember::State::Requested;
  Group.Due = Now + this->AnswerTimeout;
  Out.add(TakeHold{Next->Hold, Next->Engine, Engine->Listing.At,
                   Group.TokensEach, Group.Deadline});
}

void GroupsPlugin::handleAnswer(const HoldAnswered &Answer, Time Now,
                                Actions &Out) {
  for (auto &[Id, Group] : this->Groups) {
    GroupMember *Member = Group.find(Answer.Hold);
    if (!Member || Group.Status != GroupReservation::State::Acquiring)
      continue;
    if (Answer.Result == HoldResult::Granted) {
      Member->Status = GroupMember::State::Granted;
      this->requestNextHold(Group, Now, Out);
    } else {
      this->handleRefusal(Group, "refused", Now, Out);
    }
    return;
  }
}

void GroupsPlugin::handleRefusal(GroupReservation &Group, std::string_view Why,
                                 Time Now, Actions &Out) {
  this->releaseHolds(Group, Out);
  Out.count("groups_refused", Why);
  Out.log(logEvent(events::GroupRefused)
              .with("request", Group.Owner.Value)
              .with("why", Why)
              .with("tries", Group.Attempts)
              .build());
  if (Group.Attempts >= this->MaxAttempts) {
    this->notifyDecision(Group.Owner, {}, Now, Out);
    return;
  }
  // A random delay keeps conflicting groups from conflicting again.
  Group.Status = GroupReservation::State::Waiting;
  Group.Due = Now + fromSeconds(inSeconds(this->RetryPause) *
                                (0.5 + this->Rng->fraction()));
}

void GroupsPlugin::releaseHolds(GroupReservation &Group, Actions &Out) {
  for (GroupMember &Member : Group.Members) {
    if (Member.Status == GroupMember::State::Pending)
      continue;
    Member.Status = GroupMember::State::Pending;
    if (const Upstream *Engine =
            this->Registry->get<FleetView>().find(Member.Engine))
      Out.add(ReleaseHold{Member.Hold, Member.Engine, Engine->Listing.At});
  }
}

void GroupsPlugin::notifyDecision(const RequestId &Id,
                                  std::span<const HoldId> Holds, Time Now,
                                  Actions &Out) {
  if (Holds.empty())
    this->release(Id, Now, Out);
  for (GroupObserver *Observer : this->Registry->list<GroupObserver>().all())
    Observer->groupDecided(Id, Holds, Now, Out);
}

void GroupsPlugin::releaseOrphans(const LoadReport &Report, Actions &Out) {
  const Upstream *Engine = nullptr;
  for (const HoldReport &Held : Report.Holds) {
    if (Held.Kind != HoldKind::GroupHold ||
        Held.OwnerLife != this->SelfLife.Value)
      continue;
    const HoldId Hold{this->SelfLife, Held.Sequence};
    const bool InUse =
        std::any_of(this->Groups.begin(), this->Groups.end(),
                    [&Hold](auto &Group) { return Group.second.find(Hold); });
    if (InUse)
      continue;
    if (!Engine)
      Engine = this->Registry->get<FleetView>().find(Report.Id);
    if (Engine)
      Out.add(ReleaseHold{Hold, Report.Id, Engine->Listing.At});
  }
}

std::size_t GroupsPlugin::active() const {
  return static_cast<std::size_t>(std::count_if(
      this->Groups.begin(), this->Groups.end(), [](const auto &Entry) {
        return Entry.second.Status != GroupReservation::State::Waiting;
      }));
}

namespace {

std::vector<SettingDeclaration> settings() {
  const std::string Section = "groups";
  return {
      {Section, "most_at_once", SettingKind::Whole, "2",
       "How many groups of engines this host takes or holds at once.", 1, 64},
      {Section, "most_tries", SettingKind::Whole, "4",
       "How often a group is tried before its request waits anew.", 1, 100},
      {Section, "answer_timeout", SettingKind::Span, "500ms",
       "How long an engine may take to answer a hold.", 1e3, 60e6},
      {Section, "retry_pause", SettingKind::Span, "200ms",
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
