#include "plugins/hostdirectory/HostDirectoryPlugin.h"

#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>
#include <iterator>

namespace banyanpick {

void HostDirectoryPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Registry = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->Self = Context.self();
  this->Rng = &Context.random();
  this->TimeToLive = Values.span("host_directory", "ttl");
  this->MaxHosts = Values.whole("host_directory", "hosts");
}

void HostDirectoryPlugin::start(Time, Actions &) {
  this->InForce = &this->Registry->get<InForceView>();
  this->ActiveHosts = &this->Registry->get<ActiveHostsView>();
  this->Routing = &this->Registry->get<RouteView>();
  this->Regions = &this->Registry->get<RegionView>();
}

void HostDirectoryPlugin::handle(const Event &Incoming, Time, Actions &Out) {
  match(
      Incoming,
      [&](const ResolveRequest &Query) {
        std::vector<Address> Hosts = this->sampleHosts(Query);
        Out.count("resolves_answered", Hosts.empty() ? "empty" : "named");
        Out.add(AnswerResolve{Query.Id, std::move(Hosts), this->TimeToLive});
      },
      [](const auto &) {});
}

std::vector<Address>
HostDirectoryPlugin::sampleHosts(const ResolveRequest &Query) {
  const std::vector<CallerAddress> All = this->permittedHosts(Query);
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
HostDirectoryPlugin::permittedHosts(const ResolveRequest &Query) const {
  const std::vector<CallerAddress> Ready = this->readyHosts();
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
HostDirectoryPlugin::readyHosts() const {
  std::vector<CallerAddress> Result;
  const auto Add = [&](const HostId &Host, CallerAddress Listed) {
    Listed.IsActive =
        std::ranges::binary_search(this->ActiveHosts->activeHosts(), Host);
    Result.push_back(std::move(Listed));
  };
  if (this->InForce->isReady())
    Add(this->Self.Host,
        {this->Self.Callers, this->Self.Processor, this->Self.Zone});
  for (const Member &Peer : this->Members->peers())
    if (Peer.State == MemberState::Alive && Peer.Ready)
      Add(Peer.Listing.Id,
          {Peer.Listing.Callers, Peer.Listing.Processor, Peer.Listing.Zone});
  return Result;
}

std::vector<SettingDeclaration> HostDirectoryPlugin::settings() {
  return {{"host_directory", "ttl", SettingKind::Span, "1s",
           "How long a caller should keep an answer. A host that stops goes on "
           "serving three times as long, for callers that keep it longer.",
           100e3, 600e6},
          {"host_directory", "hosts", SettingKind::Whole, "64",
           "Most hosts named in one answer.", 1, 1024}};
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
