#include "plugins/hostdirectory/HostDirectoryPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace banyanpick {

namespace {

/// A zone whose callers are near the limit is logged no more often.
constexpr seconds LogInterval(5);

} // namespace

void HostDirectoryPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Registry = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->Self = Context.self();
  this->Rng = &Context.random();
  this->TimeToLive = Values.span("host_directory", "ttl");
  this->MaxHosts = Values.whole("host_directory", "hosts");
  this->PrefersNearby = Values.flag("host_directory", "nearby");
  this->Limits = {Values.whole("host_directory", "nearby_hosts"),
                  Values.fraction("host_directory", "nearby_load")};
}

void HostDirectoryPlugin::start(Time, Actions &) {
  this->InForce = &this->Registry->get<InForceView>();
  this->ActiveHosts = &this->Registry->get<ActiveHostsView>();
  this->Reach = &this->Registry->get<EngineReachView>();
  this->Routing = &this->Registry->get<RouteView>();
  this->Regions = &this->Registry->get<RegionView>();
}

void HostDirectoryPlugin::handle(const Event &Incoming, Time Now,
                                 Actions &Out) {
  match(
      Incoming,
      [&](const ResolveRequest &Query) {
        std::vector<Address> Hosts =
            this->sampleHosts(this->hostsFor(Query, Now, Out));
        Out.count("resolves_answered", Hosts.empty() ? "empty" : "named");
        Out.add(AnswerResolve{Query.Id, std::move(Hosts), this->TimeToLive});
      },
      [](const auto &) {});
}

std::vector<HostDirectoryPlugin::CallerAddress>
HostDirectoryPlugin::withoutCutOff(std::vector<CallerAddress> Hosts) {
  const bool AnyReachesEngines =
      std::ranges::find(Hosts, false, &CallerAddress::CutOff) != Hosts.end();
  if (AnyReachesEngines)
    std::erase_if(Hosts, [](const CallerAddress &Host) { return Host.CutOff; });
  return Hosts;
}

std::vector<HostDirectoryPlugin::CallerAddress>
HostDirectoryPlugin::hostsFor(const ResolveRequest &Query, Time Now,
                              Actions &Out) {
  std::vector<CallerAddress> All =
      withoutCutOff(this->permittedHosts(Query, Now));
  const ZoneId &Zone = Query.Zone;
  if (!this->PrefersNearby || Zone.Value.empty())
    return All;
  ZoneStanding Standing;
  double InZone = 0;
  double Sum = 0;
  for (const CallerAddress &Listed : All) {
    const bool IsNear = Listed.Zone == Zone;
    Standing.Hosts += IsNear ? 1 : 0;
    InZone += IsNear ? Listed.Processor.Thousandths : 0;
    Sum += Listed.Processor.Thousandths;
  }
  // The names of zones come from callers; unknown ones are not counted.
  if (Standing.Hosts == 0)
    return All;
  Standing.Suspects = static_cast<std::size_t>(
      std::ranges::count_if(this->Members->peers(), [&](const Member &Peer) {
        return Peer.Listing.Zone == Zone && Peer.State == MemberState::Suspect;
      }));
  Standing.CapacityShare = Sum > 0 ? InZone / Sum : 0;
  this->Demand.note(Zone, Now);
  Standing.DemandShare =
      this->Demand.shareOf(Zone, Standing.CapacityShare, Now);
  const double NearShare = nearbyShare(Standing, this->Limits);
  this->logShare(Zone, Standing, NearShare, Now, Out);
  const bool IsNearby = this->Rng->fraction() < NearShare;
  Out.count("resolves_by_zone", IsNearby ? "nearby" : "all");
  if (IsNearby)
    std::erase_if(
        All, [&](const CallerAddress &Listed) { return Listed.Zone != Zone; });
  return All;
}

void HostDirectoryPlugin::logShare(const ZoneId &Zone,
                                   const ZoneStanding &Standing,
                                   double NearShare, Time Now, Actions &Out) {
  const bool AllStay = NearShare >= 1;
  LoggedShare &Last = this->Logged[Zone];
  if (AllStay == Last.AllStay || Now < Last.At + LogInterval)
    return;
  Last = {AllStay, Now};
  constexpr double Percent = 100;
  Out.log(
      logEvent(events::CallersSpreadChanged)
          .with("zone", Zone.Value)
          .with("near_percent", std::lround(NearShare * Percent))
          .with("hosts", Standing.Hosts)
          .with("capacity_percent",
                std::lround(Standing.CapacityShare * Percent))
          .with("demand_percent", std::lround(Standing.DemandShare * Percent))
          .build());
}

std::vector<Address>
HostDirectoryPlugin::sampleHosts(std::span<const CallerAddress> All) {
  std::uint32_t MaxProcessor = 0;
  for (const CallerAddress &Listed : All)
    MaxProcessor = std::max(MaxProcessor, Listed.Processor.Thousandths);
  std::vector<Address> Result;
  for (const CallerAddress &Listed : All)
    if (this->Rng->below(MaxProcessor) < Listed.Processor.Thousandths)
      Result.push_back(Listed.Callers);
  // If there are more hosts than fit into an answer, each caller gets its own
  // random sample.
  while (Result.size() > this->MaxHosts)
    Result.erase(Result.begin() +
                 static_cast<std::ptrdiff_t>(this->Rng->below(Result.size())));
  return Result;
}

std::vector<HomeRegions>
HostDirectoryPlugin::homesOf(std::string_view Name) const {
  std::vector<HomeRegions> Result;
  const RouteTable *Routes = this->Routing->routes();
  if (!Routes)
    return Result;
  const std::string_view Host = Name.substr(0, Name.find(':'));
  for (const RouteEntry &Route : Routes->configuration().Routes)
    if (Route.Host == Host && !Route.HomeRegions.empty())
      Result.push_back({Route.HomeRegions, {}});
  return Result;
}

std::vector<HostDirectoryPlugin::CallerAddress>
HostDirectoryPlugin::permittedHosts(const ResolveRequest &Query,
                                    Time Now) const {
  const std::vector<CallerAddress> Ready = this->readyHosts(Now);
  const std::vector<HomeRegions> Homes = this->homesOf(Query.Name);
  const RegionId CallerRegion = Query.Region.empty()
                                    ? this->Regions->regionOf(Query.Zone)
                                    : RegionId(Query.Region);
  const auto IsPermitted = [&](const CallerAddress &Listed) {
    const bool IsNear = !CallerRegion.Value.empty() &&
                        this->Regions->regionOf(Listed.Zone) == CallerRegion;
    return IsNear || std::ranges::all_of(Homes, [&](const HomeRegions &Home) {
             return this->Regions->isHome(Listed.Zone, Home);
           });
  };
  std::vector<CallerAddress> Active;
  std::ranges::copy_if(Ready, std::back_inserter(Active),
                       &CallerAddress::IsActive);
  if (Homes.empty())
    return Active;
  std::vector<CallerAddress> Result;
  std::ranges::copy_if(Active, std::back_inserter(Result), IsPermitted);
  if (Result.empty())
    std::ranges::copy_if(Ready, std::back_inserter(Result), IsPermitted);
  return Result.empty() ? Active : Result;
}

std::vector<HostDirectoryPlugin::CallerAddress>
HostDirectoryPlugin::readyHosts(Time Now) const {
  std::vector<CallerAddress> Result;
  const auto Add = [&](const HostId &Host, CallerAddress Listed) {
    Listed.IsActive =
        std::ranges::binary_search(this->ActiveHosts->activeHosts(), Host);
    Result.push_back(std::move(Listed));
  };
  if (this->InForce->isReady())
    Add(this->Self.Host, {this->Self.Callers, this->Self.Processor,
                          this->Self.Zone, false, this->Reach->isCutOff(Now)});
  for (const Member &Peer : this->Members->peers())
    if (Peer.State == MemberState::Alive && Peer.Ready)
      Add(Peer.Listing.Id, {Peer.Listing.Callers, Peer.Listing.Processor,
                            Peer.Listing.Zone, false, Peer.CutOff});
  return Result;
}

std::vector<SettingDeclaration> HostDirectoryPlugin::settings() {
  return {{"host_directory", "ttl", SettingKind::Span, "1s",
           "How long a caller should keep an answer. A host that stops goes on "
           "serving three times as long, for callers that keep it longer.",
           100e3, 600e6},
          {"host_directory", "hosts", SettingKind::Whole, "64",
           "Most hosts named in one answer.", 1, 1024},
          {"host_directory", "nearby", SettingKind::Flag, "false",
           "Callers that name their data centre are sent to its hosts, as far "
           "as these can take them."},
          {"host_directory", "nearby_hosts", SettingKind::Whole, "2",
           "Fewer ready hosts in a data centre are not preferred by its "
           "callers.",
           1, 1024},
          {"host_directory", "nearby_load", SettingKind::Fraction, "1.25",
           "Callers stay in their data centre while its hosts get no more than "
           "this many times the mean load of all hosts.",
           1, 100}};
}

namespace {

const PluginRegistration
    Registration({"host_directory",
                  {"active_hosts", "membership", "regions", "routes"},
                  HostDirectoryPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<HostDirectoryPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
