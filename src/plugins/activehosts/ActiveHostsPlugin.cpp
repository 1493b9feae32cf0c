#include "plugins/activehosts/ActiveHostsPlugin.h"

#include "base/EventNumbers.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

void ActiveHostsPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view In = "active_hosts";
  this->Offered = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->Declared = &Context.services().get<RouteView>();
  this->Directory = &Context.services().get<EngineDirectory>();
  this->InForce = &Context.services().get<InForceView>();
  this->Own = Context.self();
  this->LeastHosts = Values.whole(In, "least_hosts");
  this->PlacesPerCore = Values.fraction(In, "places_per_core");
  Context.services().provide<ActiveHostsView>(*this);
  Context.services().list<MembershipObserver>().add(*this);
  Context.services().list<EngineObserver>().add(*this);
}

void ActiveHostsPlugin::start(Time, Actions &Out) { this->choose(Out); }

void ActiveHostsPlugin::handle(const Event &, Time, Actions &Out) {
  if (this->Stale || this->InForce->isReady() != this->WasReady)
    this->choose(Out);
}

void ActiveHostsPlugin::choose(Actions &Out) {
  this->Stale = false;
  this->WasReady = this->InForce->isReady();
  const std::vector<ActiveCandidate> All = this->candidates();
  Registered Engines = this->registered();
  const ActiveNeed Need{this->LeastHosts, Engines.Places / this->PlacesPerCore};
  std::vector<HostId> Chosen = chooseActive(All, Need);
  std::uint32_t Parts = 1;
  for (const auto &[Service, Count] : Engines.Counts)
    Parts = std::max(Parts, partCount(Count, Chosen.size()));
  this->EngineCounts = std::move(Engines.Counts);
  if (Chosen == this->Active && Parts == this->PartHasHosts.size())
    return;
  this->Active = std::move(Chosen);
  this->SelfActive = std::ranges::binary_search(this->Active, this->Own.Host);
  this->divide(All, Parts);
  Out.log(logEvent(events::ActiveHostsChanged)
              .with("active", this->Active.size())
              .with("of", All.size())
              .with("self", this->SelfActive ? "active" : "standing by")
              .with("cores_needed", Need.Cores)
              .with("parts", Parts)
              .with("part", this->OwnPart)
              .with("sharers", this->Sharers.size())
              .build());
}

void ActiveHostsPlugin::divide(std::span<const ActiveCandidate> All,
                               std::uint32_t Count) {
  std::vector<ActiveCandidate> Hosts;
  std::ranges::copy_if(
      All, std::back_inserter(Hosts), [&](const ActiveCandidate &Each) {
        return std::ranges::binary_search(this->Active, Each.Host);
      });
  const std::vector<std::uint32_t> Parts = divideHosts(Hosts, Count);
  this->OwnPart = likedPart(this->Own.Host, Count);
  this->PartHasHosts.assign(Count, false);
  for (std::size_t At = 0; At < Hosts.size(); ++At) {
    this->PartHasHosts[Parts[At]] = true;
    if (Hosts[At].Host == this->Own.Host)
      this->OwnPart = Parts[At];
  }
  this->Sharers.clear();
  for (std::size_t At = 0; At < Hosts.size(); ++At)
    if (Parts[At] == this->OwnPart)
      this->Sharers.push_back(Hosts[At].Host);
  std::ranges::sort(this->Sharers);
  this->Partners.clear();
  if (this->SelfActive)
    std::ranges::remove_copy(this->Sharers, std::back_inserter(this->Partners),
                             this->Own.Host);
}

EngineShare ActiveHostsPlugin::shareOf(const ServiceId &Service) const {
  EngineShare Result;
  const auto Found = this->EngineCounts.find(Service);
  const std::size_t Count = Found == this->EngineCounts.end()
                                ? 1
                                : partCount(Found->second, this->Active.size());
  if (Count == 1)
    return Result;
  // What no host has for its own is everybody's.
  Result.Parts.assign(Count, true);
  for (std::size_t Part = 0; Part < this->PartHasHosts.size(); ++Part)
    if (this->PartHasHosts[Part])
      Result.Parts[Part % Count] = false;
  Result.Parts[this->OwnPart % Count] = true;
  return Result;
}

std::vector<ActiveCandidate> ActiveHostsPlugin::candidates() const {
  std::vector<ActiveCandidate> Result;
  if (this->WasReady)
    Result.push_back({this->Own.Host, this->Own.Zone, this->Own.Processor});
  for (const Member &Each : this->Members->peers())
    if (Each.State == MemberState::Alive && Each.Ready)
      Result.push_back(
          {Each.Listing.Id, Each.Listing.Zone, Each.Listing.Processor});
  return Result;
}

ActiveHostsPlugin::Registered ActiveHostsPlugin::registered() const {
  Registered Result;
  const RouteTable *Routes = this->Declared->routes();
  if (!Routes)
    return Result;
  for (const auto &[Id, Entry] : Routes->configuration().Services) {
    const auto Engines = this->Directory->ofService(Id);
    Result.Counts[Id] = Engines.size();
    for (const RegisteredEngine *Each : Engines)
      Result.Places += Each->Record.Slots;
  }
  return Result;
}

void ActiveHostsPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  Monitor.require(std::ranges::is_sorted(this->Active),
                  "active hosts are ordered by name");
  Monitor.require(this->SelfActive || this->Partners.empty(),
                  "a host that stands by has no partners");
}

std::vector<SettingDeclaration> ActiveHostsPlugin::settings() {
  const std::string In = "active_hosts";
  return {
      {In, "least_hosts", SettingKind::Whole, "16",
       "Up to so many hosts all take callers; of more at least so many do. "
       "When one of sixteen dies, one caller in sixteen asks for another.",
       1, 1024},
      {In, "places_per_core", SettingKind::Fraction, "150",
       "Requests that the engines run at once for each core of the active "
       "hosts: relaying one takes some 3 ms of processor time a second, so "
       "that engines which are all full use half of it.",
       1, 1e6},
  };
}

namespace {

const PluginRegistration
    Registration({"active_hosts",
                  {"engines", "membership", "routes"},
                  ActiveHostsPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<ActiveHostsPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
