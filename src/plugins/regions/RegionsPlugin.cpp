#include "plugins/regions/RegionsPlugin.h"

#include "base/EventNumbers.h"
#include "kernel/PluginRegistry.h"

#include <set>

namespace banyanpick {

namespace {

void logUnusable(std::string_view What, std::string_view Reason, Actions &Out) {
  Out.log(logEvent(events::RegionUnusable)
              .with("what", What)
              .with("why", Reason)
              .build());
  Out.count("regions_unusable", "");
}

} // namespace

void RegionsPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Routing = &Context.services().get<RouteView>();
  this->Table = RegionTable(Values.text("regions", "zones"));
  this->OwnZone = Context.self().Zone;
  this->OwnRegion = RegionId(Values.text("regions", "own"));
  if (this->OwnRegion.Value.empty())
    this->OwnRegion = this->Table.regionOf(this->OwnZone);
  Context.services().provide<RegionView>(*this);
}

void RegionsPlugin::start(Time, Actions &Out) {
  for (const std::string &Entry : this->Table.malformed())
    logUnusable(Entry, "an entry of [regions] zones is not zone=region", Out);
}

void RegionsPlugin::handle(const Event &, Time, Actions &Out) {
  const RouteTable *Routes = this->Routing->routes();
  if (!Routes || Routes->version() == this->CheckedVersion)
    return;
  this->CheckedVersion = Routes->version();
  this->checkConfiguration(Routes->configuration(), Out);
}

RegionId RegionsPlugin::regionOf(const ZoneId &Zone) const {
  return Zone == this->OwnZone ? this->OwnRegion : this->Table.regionOf(Zone);
}

void RegionsPlugin::checkConfiguration(const GatewayConfiguration &Declared,
                                       Actions &Out) {
  for (const std::string &Problem : Declared.Problems)
    logUnusable(Problem, "the configuration is malformed here", Out);
  std::set<RegionId> Used;
  for (const RouteEntry &Route : Declared.Routes)
    Used.insert(Route.HomeRegions.begin(), Route.HomeRegions.end());
  for (const auto &[Key, Owner] : Declared.Keys)
    Used.insert(Owner.HomeRegions.begin(), Owner.HomeRegions.end());
  for (const RegionId &Region : Used)
    if (!this->Table.hasZones(Region))
      logUnusable(Region.Value, "no zone belongs to this home region", Out);
}

std::vector<SettingDeclaration> RegionsPlugin::settings() {
  return {{"regions", "own", SettingKind::Text, "",
           "This host's region; empty: the region of its zone."},
          {"regions", "zones", SettingKind::Text, "",
           "The region of each zone, as zone=region, divided by commas; empty: "
           "home regions restrict nothing."}};
}

namespace {

const PluginRegistration
    Registration({"regions",
                  {"routes"},
                  RegionsPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<RegionsPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
