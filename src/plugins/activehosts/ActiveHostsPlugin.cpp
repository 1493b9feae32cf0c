#include "plugins/activehosts/ActiveHostsPlugin.h"

#include "base/EventNumbers.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Minimum time between two selections. Hundreds of hosts that start or die
/// together change one by one, and a selection sorts all of them.
constexpr milliseconds MinChooseInterval(100);

} // namespace

void ActiveHostsPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view Section = "active_hosts";
  this->Registry = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->Routing = &Context.services().get<RouteView>();
  this->Directory = &Context.services().get<EngineDirectory>();
  this->InForce = &Context.services().get<InForceView>();
  this->Self = Context.self();
  this->MinHosts = Values.whole(Section, "least_hosts");
  this->SlotsPerCore = Values.fraction(Section, "places_per_core");
  Context.services().provide<ActiveHostsView>(*this);
  Context.services().list<MembershipObserver>().add(*this);
  Context.services().list<EngineObserver>().add(*this);
}

void ActiveHostsPlugin::start(Time Now, Actions &Out) {
  this->choose(Now, Out);
}

void ActiveHostsPlugin::handle(const Event &, Time Now, Actions &Out) {
  const bool ReadinessChanged = this->InForce->isReady() != this->WasReady;
  const bool AreFew = this->Members->peers().size() < this->MinHosts;
  const bool MayChoose = AreFew || Now >= this->NextChoice;
  if (ReadinessChanged || (this->Stale && MayChoose))
    this->choose(Now, Out);
}

Time ActiveHostsPlugin::nextWake() const {
  return this->Stale ? this->NextChoice : Never;
}

void ActiveHostsPlugin::choose(Time Now, Actions &Out) {
  this->Stale = false;
  this->NextChoice = Now + Duration(MinChooseInterval);
  this->WasReady = this->InForce->isReady();
  const std::vector<ActiveCandidate> All = this->candidates();
  RegisteredEngines Engines = this->registeredEngines();
  const RequiredCapacity Required{this->MinHosts,
                                  Engines.Slots / this->SlotsPerCore};
  std::vector<HostId> Selected = chooseActive(All, Required);
  std::uint32_t Parts = 1;
  for (const auto &[Service, Count] : Engines.Counts)
    Parts = std::max(Parts, partCount(Count, Selected.size()));
  this->EngineCounts = std::move(Engines.Counts);
  if (Selected == this->Active && Parts == this->PartHasHosts.size())
    return;
  this->Active = std::move(Selected);
  this->SelfActive = std::ranges::binary_search(this->Active, this->Self.Host);
  this->divideEngines(All, Parts);
  Out.log(logEvent(events::ActiveHostsChanged)
              .with("active", this->Active.size())
              .with("of", All.size())
              .with("self", this->SelfActive ? "active" : "standing by")
              .with("cores_needed", Required.Cores)
              .with("parts", Parts)
              .with("part", this->OwnPart)
              .with("sharers", this->Sharers.size())
              .build());
}

void ActiveHostsPlugin::divideEngines(std::span<const ActiveCandidate> All,
                                      std::uint32_t Count) {
  std::vector<ActiveCandidate> Hosts;
  std::ranges::copy_if(
      All, std::back_inserter(Hosts), [&](const ActiveCandidate &Candidate) {
        return std::ranges::binary_search(this->Active, Candidate.Host);
      });
  const std::vector<std::uint32_t> Parts = assignParts(Hosts, Count);
  this->OwnPart = preferredPart(this->Self.Host, Count);
  this->PartHasHosts.assign(Count, false);
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
    this->PartHasHosts[Parts[Index]] = true;
    if (Hosts[Index].Host == this->Self.Host)
      this->OwnPart = Parts[Index];
  }
  this->Sharers.clear();
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    if (Parts[Index] == this->OwnPart)
      this->Sharers.push_back(Hosts[Index].Host);
  std::ranges::sort(this->Sharers);
  this->Partners.clear();
  if (this->SelfActive)
    std::ranges::remove_copy(this->Sharers, std::back_inserter(this->Partners),
                             this->Self.Host);
}

EngineShare ActiveHostsPlugin::shareOf(const ServiceId &Service) const {
  EngineShare Result;
  const auto Found = this->EngineCounts.find(Service);
  const std::size_t Count = Found == this->EngineCounts.end()
                                ? 1
                                : partCount(Found->second, this->Active.size());
  if (Count == 1)
    return Result;
  // Parts without hosts of their own are shared by all hosts.
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
    Result.push_back({this->Self.Host, this->Self.Zone, this->Self.Processor});
  for (const Member &Peer : this->Members->peers())
    if (Peer.State == MemberState::Alive && Peer.Ready)
      Result.push_back(
          {Peer.Listing.Id, Peer.Listing.Zone, Peer.Listing.Processor});
  return Result;
}

ActiveHostsPlugin::RegisteredEngines
ActiveHostsPlugin::registeredEngines() const {
  RegisteredEngines Result;
  const RouteTable *Routes = this->Routing->routes();
  if (!Routes)
    return Result;
  for (const auto &[Id, Entry] : Routes->configuration().Services) {
    const auto Engines = this->Directory->ofService(Id);
    Result.Counts[Id] = Engines.size();
    for (const RegisteredEngine *Engine : Engines)
      Result.Slots += Engine->Record.Slots;
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
  const std::string Section = "active_hosts";
  return {
      {Section, "least_hosts", SettingKind::Whole, "16",
       "Up to so many hosts all take callers; of more at least so many do. "
       "When one of sixteen dies, one caller in sixteen asks for another.",
       1, 1024},
      {Section, "places_per_core", SettingKind::Fraction, "150",
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
