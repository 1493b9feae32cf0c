#include "plugins/resolve/ResolvePlugin.h"

#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

void ResolvePlugin::initialize(PluginContext &Context) {
  this->Offered = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->Own = Context.self();
  this->Most = Context.settings().whole("resolve", "hosts");
  this->TimeToLive = Context.settings().span("resolve", "ttl");
}

void ResolvePlugin::start(Time, Actions &) {
  this->Declared = &this->Offered->get<CatalogueView>();
  this->Drain = &this->Offered->get<DrainView>();
}

void ResolvePlugin::handle(const Event &What, Time, Actions &Out) {
  match(
      What, [&](const ResolveRequest &Asked) { this->answer(Asked, Out); },
      [](const auto &) {});
}

void ResolvePlugin::answer(const ResolveRequest &Asked, Actions &Out) const {
  const std::vector<CallerHost> Ready = this->readyHosts();
  const std::vector<HostId> OfTeam = this->hostsOf(Asked.Team);
  std::vector<CallerHost> Offer;
  for (const CallerHost &Each : Ready)
    if (OfTeam.empty() || std::ranges::count(OfTeam, Each.Host) != 0)
      Offer.push_back(Each);
  // Better a host that is not the team's than none.
  if (Offer.empty())
    Offer = Ready;
  const ZoneId &Nearest =
      Asked.Zone.Value.empty() ? this->Own.Zone : Asked.Zone;
  const std::string Key =
      Asked.Team.Value + "/" + std::to_string(Asked.Id.Value);
  Out.add(AnswerResolve{Asked.Id, orderHosts(Offer, Nearest, Key, this->Most),
                        this->TimeToLive});
  Out.count("resolves_answered", Offer.empty() ? "empty" : "named");
}

std::vector<CallerHost> ResolvePlugin::readyHosts() const {
  std::vector<CallerHost> Result;
  if (this->Declared->isReady() && !this->Drain->isLeaving())
    Result.push_back({this->Own.Host, this->Own.Zone, this->Own.Callers});
  for (const Member &Each : this->Members->peers())
    if (Each.State == MemberState::Alive && Each.Ready)
      Result.push_back(
          {Each.Listing.Id, Each.Listing.Zone, Each.Listing.Callers});
  return Result;
}

std::vector<HostId> ResolvePlugin::hostsOf(const TeamId &Team) const {
  const TeamEntry *Limits = this->Declared->catalogue().team(Team);
  if (!Limits)
    return {};
  // All that stay, ready or not: the limits are split over the same set.
  std::vector<TeamHostCandidate> Staying;
  if (!this->Drain->isLeaving())
    Staying.push_back({this->Own.Host, this->Own.Zone});
  const std::vector<HostId> Live = this->Members->livePeers();
  for (const Member &Each : this->Members->peers())
    if (std::ranges::binary_search(Live, Each.Listing.Id))
      Staying.push_back({Each.Listing.Id, Each.Listing.Zone});
  return teamHosts(Team, *Limits, Staying);
}

std::vector<SettingDeclaration> ResolvePlugin::settings() {
  return {{"resolve", "hosts", SettingKind::Whole, "3",
           "Entry hosts named in one resolve answer.", 1, 64},
          {"resolve", "ttl", SettingKind::Span, "5s",
           "How long a caller may keep a resolve answer.", 100e3, 600e6}};
}

namespace {

const PluginRegistration
    Registration({"resolve",
                  {"membership"},
                  ResolvePlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<ResolvePlugin>();
                  }});

} // namespace

} // namespace banyanpick
