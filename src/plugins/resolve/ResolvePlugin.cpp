#include "plugins/resolve/ResolvePlugin.h"

#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

void ResolvePlugin::initialize(PluginContext &Context) {
  this->Registry = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->Self = Context.self();
  this->MaxHosts = Context.settings().whole("resolve", "hosts");
  this->TimeToLive = Context.settings().span("resolve", "ttl");
}

void ResolvePlugin::start(Time, Actions &) {
  this->CatalogueInForce = &this->Registry->get<CatalogueView>();
  this->Drain = &this->Registry->get<DrainView>();
}

void ResolvePlugin::handle(const Event &Incoming, Time, Actions &Out) {
  match(
      Incoming, [&](const ResolveRequest &Query) { this->answer(Query, Out); },
      [](const auto &) {});
}

void ResolvePlugin::answer(const ResolveRequest &Query, Actions &Out) const {
  const std::vector<CallerHost> Ready = this->readyHosts();
  const std::vector<HostId> TeamMembers = this->hostsOfTeam(Query.Team);
  std::vector<CallerHost> Candidates;
  for (const CallerHost &Candidate : Ready)
    if (TeamMembers.empty() ||
        std::ranges::count(TeamMembers, Candidate.Host) != 0)
      Candidates.push_back(Candidate);
  // A host that is not assigned to the team is better than none.
  if (Candidates.empty())
    Candidates = Ready;
  const ZoneId &Nearest =
      Query.Zone.Value.empty() ? this->Self.Zone : Query.Zone;
  const std::string Key =
      Query.Team.Value + "/" + std::to_string(Query.Id.Value);
  Out.add(AnswerResolve{Query.Id,
                        orderHosts(Candidates, Nearest, Key, this->MaxHosts),
                        this->TimeToLive});
  Out.count("resolves_answered", Candidates.empty() ? "empty" : "named");
}

std::vector<CallerHost> ResolvePlugin::readyHosts() const {
  std::vector<CallerHost> Result;
  if (this->CatalogueInForce->isReady() && !this->Drain->isLeaving())
    Result.push_back({this->Self.Host, this->Self.Zone, this->Self.Callers});
  for (const Member &Peer : this->Members->peers())
    if (Peer.State == MemberState::Alive && Peer.Ready)
      Result.push_back(
          {Peer.Listing.Id, Peer.Listing.Zone, Peer.Listing.Callers});
  return Result;
}

std::vector<HostId> ResolvePlugin::hostsOfTeam(const TeamId &Team) const {
  const TeamEntry *Limits = this->CatalogueInForce->catalogue().team(Team);
  if (!Limits)
    return {};
  // All hosts that are not leaving, ready or not: the team's limits are split
  // over the same set.
  std::vector<TeamHostCandidate> Remaining;
  if (!this->Drain->isLeaving())
    Remaining.push_back({this->Self.Host, this->Self.Zone});
  const std::vector<HostId> Live = this->Members->livePeers();
  for (const Member &Peer : this->Members->peers())
    if (std::ranges::binary_search(Live, Peer.Listing.Id))
      Remaining.push_back({Peer.Listing.Id, Peer.Listing.Zone});
  return teamHosts(Team, *Limits, Remaining);
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
