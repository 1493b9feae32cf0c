#include "plugins/reclaim/ReclaimPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

namespace {

std::string_view name(HoldKind Kind) {
  switch (Kind) {
  case HoldKind::Stream:
    return "stream";
  case HoldKind::GroupHold:
    return "group-hold";
  case HoldKind::Export:
    return "export";
  }
  return "unknown";
}

} // namespace

void ReclaimPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Offered = &Context.services();
  this->Fleet = &Context.services().get<FleetView>();
  this->Members = &Context.services().get<MembershipView>();
  this->Graces = {Values.span("reclaim", "owner_grace"),
                  Values.span("reclaim", "deadline_grace"),
                  Values.span("reclaim", "unknown_owner_grace")};
  Context.services().provide<AttemptCanceller>(*this);
  Context.services().list<FleetObserver>().add(*this);
}

void ReclaimPlugin::start(Time, Actions &) {
  this->Requests = &this->Offered->get<RequestTable>();
  this->Orphans = OrphanWatch(
      {this->Members, this->Requests, this->Offered->find<GroupHolder>()},
      this->Graces);
}

void ReclaimPlugin::handle(const Event &What, Time Now, Actions &Out) {
  match(
      What,
      [&](const CancelAnswered &Answer) {
        if (Answer.Confirmed)
          this->Cancels.confirm(Answer.Attempt);
      },
      [&](const LoadReported &Load) {
        this->takeReport(Load.Report, Now, Out);
      },
      [](const auto &) {});
  this->Cancels.repeat(*this->Fleet, Now, Out);
}

void ReclaimPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  const auto Ids = this->Cancels.ids();
  const bool OnlyEnded = std::ranges::none_of(Ids, [this](const auto &Id) {
    return this->Requests->owner(Id) != nullptr;
  });
  Monitor.require(OnlyEnded, "no live attempt is being cancelled");
}

void ReclaimPlugin::cancel(const AttemptId &Id, const UpstreamId &Where,
                           Time Deadline, Time Now, Actions &Out) {
  if (const Upstream *Known = this->Fleet->find(Where))
    this->Cancels.add(Id, *Known, Deadline, Now, Out);
}

void ReclaimPlugin::upstreamChanged(const Upstream &Changed, Time, Actions &) {
  Incarnation &Life = this->Lives[Changed.Listing.Id];
  if (Life == Changed.Listing.Life)
    return;
  Life = Changed.Listing.Life;
  this->Cancels.noteLife(Changed.Listing.Id, Life);
  this->Orphans.forget(Changed.Listing.Id);
}

void ReclaimPlugin::takeReport(const LoadReport &Report, Time Now,
                               Actions &Out) {
  const Upstream *Where = this->Fleet->find(Report.Id);
  // A plain service holds no memory; its calls are never cancelled here.
  if (!Where || Where->Listing.Kind != UpstreamKind::Engine)
    return;
  this->Followers.update(*this->Members);
  const bool IsSteward = this->Followers.ownRank(Report.Id) == 0;
  for (const HoldReport &Each : this->Orphans.judge(Report, IsSteward, Now))
    this->free(*Where, Each, Out);
}

void ReclaimPlugin::free(const Upstream &Where, const HoldReport &Hold,
                         Actions &Out) {
  const Incarnation Owner(Hold.OwnerLife);
  if (Hold.Kind == HoldKind::Stream)
    Out.add(CancelAttempt{AttemptId{Owner, Hold.Sequence}, Where.Listing.Id,
                          Where.Listing.At});
  else
    Out.add(ReleaseHold{HoldId{Owner, Hold.Sequence}, Where.Listing.Id,
                        Where.Listing.At});
  Out.count("orphans_freed", name(Hold.Kind));
  Out.log(logEvent(events::OrphanFreed)
              .with("upstream", Where.Listing.Id.Value)
              .with("kind", name(Hold.Kind))
              .with("owner", Hold.OwnerHost)
              .with("life", Hold.OwnerLife)
              .with("sequence", Hold.Sequence)
              .with("tokens", Hold.Tokens)
              .build());
}

std::vector<SettingDeclaration> ReclaimPlugin::settings() {
  const std::string In = "reclaim";
  return {{In, "owner_grace", SettingKind::Span, "3s",
           "Memory on an engine is freed when its owner is dead, or does not "
           "know it, for so long.",
           100e3, 600e6},
          {In, "deadline_grace", SettingKind::Span, "2s",
           "Memory on an engine is freed when its own deadline is past for so "
           "long.",
           0, 600e6},
          {In, "unknown_owner_grace", SettingKind::Span, "1min",
           "Memory on an engine whose owner no host knows is freed after so "
           "long.",
           1e6, 3600e6}};
}

namespace {

const PluginRegistration
    Registration({"reclaim",
                  {"fleet", "membership"},
                  ReclaimPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<ReclaimPlugin>();
                  }});

} // namespace

} // namespace banyanpick
