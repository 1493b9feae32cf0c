#include "plugins/routes/RoutesPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

void RoutesPlugin::initialize(PluginContext &Context) {
  this->Offered = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->LookInterval = Context.settings().span("routes", "peer_look_interval");
  Context.services().provide<RouteView>(*this);
  Context.services().provide<InForceView>(*this);
}

void RoutesPlugin::start(Time Now, Actions &) { this->NextLook = Now; }

void RoutesPlugin::handle(const Event &What, Time Now, Actions &Out) {
  match(
      What,
      [&](const GatewayEvent &Is) {
        if (const auto *Read = std::get_if<ConfigurationRead>(&Is))
          this->take(*Read, Out);
        if (const auto *Bad = std::get_if<ConfigurationUnreadable>(&Is))
          Out.log(logEvent(events::ConfigurationUnreadable)
                      .with("why", Bad->Why)
                      .with("in_force", this->version())
                      .build());
      },
      [&](const PeerMessageReceived &Is) {
        this->takePeerMessage(Is.Message, Out);
      },
      [](const auto &) {});
  if (Now >= this->NextLook)
    this->look(Now, Out);
}

bool RoutesPlugin::isReady() const {
  const auto *Drain = this->Offered->find<DrainView>();
  return this->Table && !(Drain && Drain->isLeaving());
}

std::uint64_t RoutesPlugin::version() const {
  return this->Table ? this->Table->version() : 0;
}

void RoutesPlugin::take(const ConfigurationRead &Read, Actions &Out) {
  if (this->Table && Read.Declared->Version <= this->version())
    return;
  const std::uint64_t Before = this->version();
  this->Table = std::make_unique<RouteTable>(Read.Declared);
  this->HighestVersion = std::max(this->HighestVersion, this->version());
  Out.add(GatewayAction(LimitCallers{Read.Declared->Limits}));
  Out.log(logEvent(events::ConfigurationInForce)
              .with("version", this->version())
              .with("before", Before)
              .with("from", Read.From == BeliefSource::Store ? "store" : "peer")
              .with("routes", Read.Declared->Routes.size())
              .with("keys", Read.Declared->Keys.size())
              .build());
  Out.count("configurations_taken",
            Read.From == BeliefSource::Store ? "store" : "peer");
}

void RoutesPlugin::takePeerMessage(const PeerMessage &Message, Actions &Out) {
  match(
      Message.Body,
      [&](const ConfigurationAsked &Asked) {
        if (this->version() <= Asked.NewerThan)
          return;
        Out.add(SendToPeer{
            Message.From,
            ConfigurationRelayed{this->version(),
                                 this->Table->configuration().Document}});
      },
      [&](const ConfigurationRelayed &Relayed) {
        if (Relayed.Version <= std::max(this->version(), this->DecodingVersion))
          return;
        this->DecodingVersion = Relayed.Version;
        Out.add(GatewayAction(DecodeConfiguration{Relayed.Document}));
      },
      [&](const Heartbeat &Beat) {
        // At once: a key that was taken away must stop here, too.
        if (Beat.InForce > std::max(this->version(), this->DecodingVersion))
          Out.add(
              SendToPeer{Message.From, ConfigurationAsked{this->version()}});
      },
      [](const auto &) {});
}

void RoutesPlugin::look(Time Now, Actions &Out) {
  this->NextLook = Now + this->LookInterval;
  const Member *Best = nullptr;
  for (const Member &Each : this->Members->peers())
    if (Each.State != MemberState::Dead && Each.InForce > this->version() &&
        (!Best || Each.InForce > Best->InForce))
      Best = &Each;
  // An answer may have been lost, so a version under way is asked for again.
  if (!Best)
    return;
  this->DecodingVersion = 0;
  Out.add(SendToPeer{Best->Listing.Id, ConfigurationAsked{this->version()}});
}

void RoutesPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  Monitor.require(this->version() == this->HighestVersion,
                  "the configuration never goes back");
}

std::vector<SettingDeclaration> RoutesPlugin::settings() {
  return {{"routes", "peer_look_interval", SettingKind::Span, "250ms",
           "How often a host that lags behind its peers asks one of them for "
           "the configuration.",
           50e3, 10e6}};
}

namespace {

const PluginRegistration
    Registration({"routes",
                  {"membership"},
                  RoutesPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<RoutesPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
