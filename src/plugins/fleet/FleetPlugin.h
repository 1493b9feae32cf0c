/// \file
/// The plug-in that knows the upstreams and how they are doing.
#pragma once

#include "kernel/Plugin.h"

#include <unordered_map>

namespace banyanpick {

/// Joins the host list with load reports.
class FleetPlugin : public Plugin, public FleetView, public StatusContributor {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &What, Time Now, Actions &Out) override;
  Time nextWake() const override { return this->NextPoll; }

  std::span<const Upstream> upstreams() const override { return this->Known; }
  std::span<const std::uint32_t>
  enginesWith(const ModelId &Model) const override;
  std::span<const std::uint32_t>
  applications(const std::string &Service) const override;
  const Upstream *find(const UpstreamId &Id) const override;

  void contribute(StatusReport &Report, Time Now) const override;

private:
  void takeList(const HostListRead &List, Time Now);
  void takeReport(const LoadReport &Report, Time Now);
  void rebuildIndexes();

  Duration PollInterval{};
  Time NextPoll{};
  std::vector<Upstream> Known;
  std::unordered_map<UpstreamId, std::uint32_t> Positions;
  std::unordered_map<ModelId, std::vector<std::uint32_t>> ByModel;
  std::unordered_map<std::string, std::vector<std::uint32_t>> ByService;
};

} // namespace banyanpick
