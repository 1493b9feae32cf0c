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
  this->Registry = &Context.services();
  this->Fleet = &Context.services().get<FleetView>();
  this->Members = &Context.services().get<MembershipView>();
  this->GracePeriods = {Values.span("reclaim", "owner_grace"),
                        Values.span("reclaim", "deadline_grace"),
                        Values.span("reclaim", "unknown_owner_grace")};
  Context.services().provide<AttemptCanceller>(*this);
  Context.services().list<FleetObserver>().add(*this);
}

void ReclaimPlugin::start(Time, Actions &) {
  this->Requests = &this->Registry->get<RequestTable>();
  this->Orphans = OrphanDetector(
      {this->Members, this->Requests, this->Registry->find<GroupHolder>()},
      this->GracePeriods);
}

void ReclaimPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  match(
      Incoming,
      [&](const CancelAnswered &Answer) {
        if (Answer.Confirmed)
          this->Cancels.confirm(Answer.Attempt);
      },
      [&](const LoadReported &Load) {
        this->handleReport(Load.Report, Now, Out);
      },
      [](const auto &) {});
  this->Cancels.resendDue(*this->Fleet, Now, Out);
}

void ReclaimPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  const auto Ids = this->Cancels.ids();
  const bool OnlyEnded = std::ranges::none_of(Ids, [this](const auto &Id) {
    return this->Requests->owner(Id) != nullptr;
  });
  Monitor.require(OnlyEnded, "no live attempt is being cancelled");
}

void ReclaimPlugin::cancel(const AttemptId &Id, const UpstreamId &Target,
                           Time Deadline, Time Now, Actions &Out) {
  if (const Upstream *Found = this->Fleet->find(Target))
    this->Cancels.add(Id, *Found, Deadline, Now, Out);
}

void ReclaimPlugin::upstreamChanged(const Upstream &Changed, Time, Actions &) {
  Incarnation &Life = this->Incarnations[Changed.Listing.Id];
  if (Life == Changed.Listing.Life)
    return;
  Life = Changed.Listing.Life;
  this->Cancels.noteIncarnation(Changed.Listing.Id, Life);
  this->Orphans.forget(Changed.Listing.Id);
}

void ReclaimPlugin::handleReport(const LoadReport &Report, Time Now,
                                 Actions &Out) {
  const Upstream *Target = this->Fleet->find(Report.Id);
  // A plain service holds no memory, so its calls are never cancelled here.
  if (!Target || Target->Listing.Kind != UpstreamKind::Engine)
    return;
  this->Followers.update(*this->Members);
  const bool IsLeader = this->Followers.ownRank(Report.Id) == 0;
  for (const HoldReport &Orphan :
       this->Orphans.findOrphans(Report, IsLeader, Now))
    this->freeHold(*Target, Orphan, Out);
}

void ReclaimPlugin::freeHold(const Upstream &Target, const HoldReport &Hold,
                             Actions &Out) {
  const Incarnation Owner(Hold.OwnerLife);
  if (Hold.Kind == HoldKind::Stream)
    Out.add(CancelAttempt{AttemptId{Owner, Hold.Sequence}, Target.Listing.Id,
                          Target.Listing.At});
  else
    Out.add(ReleaseHold{HoldId{Owner, Hold.Sequence}, Target.Listing.Id,
                        Target.Listing.At});
  Out.count("orphans_freed", name(Hold.Kind));
  Out.log(logEvent(events::OrphanFreed)
              .with("upstream", Target.Listing.Id.Value)
              .with("kind", name(Hold.Kind))
              .with("owner", Hold.OwnerHost)
              .with("life", Hold.OwnerLife)
              .with("sequence", Hold.Sequence)
              .with("tokens", Hold.Tokens)
              .build());
}

std::vector<SettingDeclaration> ReclaimPlugin::settings() {
  const std::string Section = "reclaim";
  return {{Section, "owner_grace", SettingKind::Span, "3s",
           "Memory on an engine is freed when its owner is dead, or does not "
           "know it, for so long.",
           100e3, 600e6},
          {Section, "deadline_grace", SettingKind::Span, "2s",
           "Memory on an engine is freed when its own deadline is past for so "
           "long.",
           0, 600e6},
          {Section, "unknown_owner_grace", SettingKind::Span, "1min",
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
