#include "plugins/membership/MembershipPlugin.h"

#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

void MembershipPlugin::initialize(PluginContext &Context) {
  this->Own = Context.self();
  this->ListInterval =
      Context.settings().span("membership", "host_list_interval");
  Context.services().provide<MembershipView>(*this);
  Context.services().list<StatusContributor>().add(*this);
}

void MembershipPlugin::handle(const Event &What, Time Now, Actions &Out) {
  match(
      What, [&](const HostListRead &List) { this->takeList(List, Now, Out); },
      [](const auto &) {});
  if (Now < this->NextListRead)
    return;
  this->NextListRead = Now + this->ListInterval;
  Out.add(ReadHostList{});
}

std::vector<HostId> MembershipPlugin::livePeers() const {
  std::vector<HostId> Result;
  for (const Member &Each : this->Members)
    if (Each.State == MemberState::Alive)
      Result.push_back(Each.Listing.Id);
  return Result;
}

bool MembershipPlugin::isDead(const HostId &, Incarnation) const {
  return false;
}

void MembershipPlugin::contribute(StatusReport &Report, Time Now) const {
  for (const Member &Each : this->Members)
    Report.Hosts.push_back({Each.Listing.Id, Each.Listing.Zone, Each.State,
                            Each.Ready, Each.InForce, Now - Each.LastHeard});
}

void MembershipPlugin::takeList(const HostListRead &List, Time Now,
                                Actions &Out) {
  std::vector<HostListing> Peers;
  for (const HostListing &Each : List.Hosts)
    if (Each.Id != this->Own.Host)
      Peers.push_back(Each);
  std::ranges::sort(Peers, {}, &HostListing::Id);
  const bool Same =
      std::ranges::equal(Peers, this->Members, {}, {}, &Member::Listing);
  if (Same)
    return;
  this->Members.clear();
  for (const HostListing &Each : Peers) {
    Member Added;
    Added.Listing = Each;
    Added.State = Each.Leaving ? MemberState::Leaving : MemberState::Alive;
    Added.Ready = true;
    Added.LastHeard = Now;
    this->Members.push_back(Added);
  }
  Out.add(ConnectPeers{std::move(Peers)});
}

namespace {

std::vector<SettingDeclaration> settings() {
  return {{"membership", "host_list_interval", SettingKind::Span, "1s",
           "How often the platform's host list is read.", 50e3, 60e6}};
}

const PluginRegistration
    Registration({"membership", {}, settings, []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<MembershipPlugin>();
                  }});

} // namespace

} // namespace banyanpick
