/// \file
/// The plug-in that knows the regions of zones.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/regions/RegionTable.h"

namespace banyanpick {

/// Provides the table from zones to regions. Logs home regions of a new
/// configuration that no zone belongs to, because their requests are refused,
/// and parts of the configuration or the settings that can't be read.
class RegionsPlugin : public Plugin, public RegionView {
public:
  void initialize(PluginContext &Context) override;
  void start(Time Now, Actions &Out) override;
  void handle(const Event &Received, Time Now, Actions &Out) override;

  RegionId regionOf(const ZoneId &Zone) const override;
  bool isHome(const ZoneId &Zone, const HomeRegions &Homes) const override {
    return this->Table.isHome(Zone, Homes);
  }

  static std::vector<SettingDeclaration> settings();

private:
  void checkConfiguration(const GatewayConfiguration &Declared, Actions &Out);

  const RouteView *Routing = nullptr;
  ZoneId OwnZone;
  RegionId OwnRegion;
  RegionTable Table;
  std::uint64_t CheckedVersion = 0;
};

} // namespace banyanpick
