#include "plugins/fleet/FleetPlugin.h"

#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

void FleetPlugin::initialize(PluginContext &Context) {
  this->PollInterval = Context.settings().span("fleet", "load_poll_interval");
  Context.services().provide<FleetView>(*this);
  Context.services().list<StatusContributor>().add(*this);
}

void FleetPlugin::handle(const Event &What, Time Now, Actions &Out) {
  match(
      What, [&](const HostListRead &List) { this->takeList(List, Now); },
      [&](const LoadReported &Load) { this->takeReport(Load.Report, Now); },
      [](const auto &) {});
  if (Now < this->NextPoll)
    return;
  this->NextPoll = Now + this->PollInterval;
  for (const Upstream &Each : this->Known)
    Out.add(PollLoad{Each.Listing.Id, Each.Listing.At});
}

std::span<const std::uint32_t>
FleetPlugin::enginesWith(const ModelId &Model) const {
  const auto Found = this->ByModel.find(Model);
  if (Found == this->ByModel.end())
    return {};
  return Found->second;
}

std::span<const std::uint32_t>
FleetPlugin::applications(const std::string &Service) const {
  const auto Found = this->ByService.find(Service);
  if (Found == this->ByService.end())
    return {};
  return Found->second;
}

const Upstream *FleetPlugin::find(const UpstreamId &Id) const {
  const auto Found = this->Positions.find(Id);
  return Found == this->Positions.end() ? nullptr : &this->Known[Found->second];
}

void FleetPlugin::contribute(StatusReport &Report, Time Now) const {
  for (const Upstream &Each : this->Known)
    Report.Upstreams.push_back(
        {Each.Listing.Id, Each.Listing.Kind, Each.Listing.Zone,
         Each.State == UpstreamState::Live ? "live" : "unknown",
         Each.Report.QueuedPrefillTokens, Each.Report.FreeMemoryTokens,
         Each.Report.MemoryTokens, Each.Report.Running, Now - Each.ReportAt});
}

void FleetPlugin::takeList(const HostListRead &List, Time) {
  std::vector<Upstream> Next;
  for (const UpstreamListing &Each : List.Upstreams) {
    const Upstream *Old = this->find(Each.Id);
    Upstream Added = Old ? *Old : Upstream{};
    Added.Listing = Each;
    if (Each.Leaving)
      Added.State = UpstreamState::Leaving;
    Next.push_back(std::move(Added));
  }
  std::ranges::sort(Next, {},
                    [](const Upstream &Each) { return Each.Listing.Id; });
  this->Known = std::move(Next);
  this->rebuildIndexes();
}

void FleetPlugin::takeReport(const LoadReport &Report, Time Now) {
  const auto Found = this->Positions.find(Report.Id);
  if (Found == this->Positions.end())
    return;
  Upstream &Of = this->Known[Found->second];
  const bool ModelsChanged = Of.Report.Models != Report.Models;
  Of.Report = Report;
  Of.ReportAt = Now;
  Of.State = Report.Leaving || Of.Listing.Leaving ? UpstreamState::Leaving
                                                  : UpstreamState::Live;
  if (ModelsChanged)
    this->rebuildIndexes();
}

void FleetPlugin::rebuildIndexes() {
  this->Positions.clear();
  this->ByModel.clear();
  this->ByService.clear();
  for (std::uint32_t Position = 0; Position < this->Known.size(); ++Position) {
    const Upstream &Each = this->Known[Position];
    this->Positions.emplace(Each.Listing.Id, Position);
    if (Each.Listing.Kind == UpstreamKind::Application)
      this->ByService[Each.Listing.Application].push_back(Position);
    for (const ModelId &Model : Each.Report.Models)
      this->ByModel[Model].push_back(Position);
  }
}

namespace {

std::vector<SettingDeclaration> settings() {
  return {{"fleet", "load_poll_interval", SettingKind::Span, "250ms",
           "How often an upstream is asked for its load.", 10e3, 60e6}};
}

const PluginRegistration Registration(
    {"fleet", {"membership"}, settings, []() -> std::unique_ptr<Plugin> {
       return std::make_unique<FleetPlugin>();
     }});

} // namespace

} // namespace banyanpick
