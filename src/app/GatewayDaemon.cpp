#include "app/GatewayDaemon.h"

#include "app/MemoryGauges.h"
#include "app/PeerEvents.h"
#include "app/TrafficSettings.h"
#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "http/HttpSettings.h"
#include "logging/LineLog.h"
#include "peers/PeerSettings.h"

#include <csignal>
#include <future>

namespace banyanpick {

namespace {

HttpAnswer noSuchTarget() {
  return errorAnswer(404, ErrorKind::BadInput,
                     "no such target; see docs/PROTOCOLS.md");
}

} // namespace

GatewayRouter::GatewayRouter(GatewayTraffic &Traffic, PeerNetwork &Peers,
                             Metrics &HostMetrics, const ProcessClock &Clock,
                             std::function<void()> OnStopGiven)
    : Traffic(Traffic), Peers(Peers), HostMetrics(HostMetrics), Clock(Clock),
      OnStop(std::move(OnStopGiven)) {}

void GatewayRouter::perform(std::vector<Action> Wanted) {
  std::vector<Action> ForTraffic;
  bool Stops = false;
  for (Action &NextAction : Wanted)
    match(
        NextAction,
        [&](SendToPeer &Item) {
          this->Peers.send(Item.To, std::move(Item.Body));
        },
        [&](ConnectPeers &Item) { this->Peers.connect(std::move(Item)); },
        [&](WriteLogLine &Item) { writeLogLine(Item.Line, this->Clock.now()); },
        [&](RecordMeasurement &Item) { this->HostMetrics.record(Item); },
        [&](StopNow &) { Stops = true; },
        [&](auto &Item) { ForTraffic.emplace_back(std::move(Item)); });
  if (!ForTraffic.empty())
    this->Traffic.post(std::move(ForTraffic));
  // The traffic thread gets the actions of the stop before the main thread asks
  // it what is still open.
  if (Stops)
    this->OnStop();
}

GatewayDaemon::GatewayDaemon(const Settings &Values, std::string File,
                             Incarnation Life, std::uint64_t Seed)
    : Events(this->Clock),
      Protocol(makeGatewayProtocol(gatewaySettings(Values).Protocol)),
      Context{identityFrom(Values, Life),
              gatewaySettings(Values),
              *this->Protocol,
              this->Events,
              this->HostMetrics,
              this->Clock},
      Traffic(this->Context), Pages(this->State, this->HostMetrics),
      RelayHandler([this](HttpExchange &Exchange) {
        return this->Traffic.relay(Exchange);
      }),
      DirectoryHandler([this](HttpExchange &Exchange) {
        return this->Traffic.resolve(Exchange);
      }),
      ReadinessHandler([this](HttpExchange &Exchange) {
        return this->serveReadiness(Exchange);
      }),
      MetricsHandler([this](HttpExchange &Exchange) {
        return this->serveMetrics(Exchange);
      }) {
  const Identity &Self = this->Context.Self;
  this->Peers = std::make_unique<PeerNetwork>(
      Self.Host, Life, Self.Peers, peerSettings(Values),
      peerEvents(this->Events, this->HostMetrics, this->Clock));
  this->Router = std::make_unique<GatewayRouter>(
      this->Traffic, *this->Peers, this->HostMetrics, this->Clock,
      [this] { this->Shutdown.allow(); });
  this->openPorts(Values);
  this->Watch = std::make_unique<SettingsWatch>(
      this->Traffic.context(), std::move(File),
      this->Context.Values.SettingsCheckInterval, this->Clock,
      [this](std::shared_ptr<const Settings> Changed) {
        this->applySettings(std::move(Changed));
      });
  this->Events.start(
      std::make_unique<Kernel>(Self, Values, Seed, ServingMode::Gateway),
      *this->Router, this->State);
  this->waitForSignals();
  this->Traffic.start(*this->Callers);
  writeLogLine(logEvent(events::Started)
                   .with("host", Self.Host.Value)
                   .with("life", Life.Value)
                   .with("zone", Self.Zone.Value)
                   .with("callers_port", this->callersPort())
                   .with("peers_port", this->Peers->port())
                   .build(),
               this->Clock.now());
}

GatewayDaemon::~GatewayDaemon() {
  this->Peers.reset(); // Stops its thread, which sends events.
  this->Traffic.stop();
  this->Events.stop();
}

void GatewayDaemon::openPorts(const Settings &Values) {
  HttpSettings Http = httpSettings(Values);
  Http.TakesChunkedBodies = true;
  const std::array<net::io_context *, 1> Thread{&this->Traffic.context()};
  const auto Open = [&](const Address &At, HttpHandler &Handler) {
    return std::make_unique<HttpServer>(Thread, At, Http, Handler, nullptr);
  };
  const GatewaySettings &Ports = this->Context.Values;
  this->Callers = Open(this->Context.Self.Callers, this->RelayHandler);
  this->Directory = Open(Ports.Directory, this->DirectoryHandler);
  this->Readiness = Open(Ports.Readiness, this->ReadinessHandler);
  if (Ports.Metrics)
    this->MetricsPage = Open(*Ports.Metrics, this->MetricsHandler);
}

void GatewayDaemon::waitForSignals() {
  // The set queues signals that arrive between two waits. A new set for each
  // wait would drop them, such as a SIGTERM directly after a SIGHUP.
  if (!this->Signals)
    this->Signals = std::make_unique<net::signal_set>(this->Traffic.context(),
                                                      SIGTERM, SIGINT, SIGHUP);
  this->Signals->async_wait([this](const ErrorCode &Failure, int Number) {
    if (Failure)
      return;
    if (Number == SIGHUP) {
      this->Watch->check();
      this->waitForSignals();
      return;
    }
    writeLogLine(logEvent(events::Stopping).build(), this->Clock.now());
    this->requestStop();
    this->waitForSignals();
  });
}

void GatewayDaemon::applySettings(std::shared_ptr<const Settings> Values) {
  this->Events.send(GatewayEvent(SettingsReloaded{std::move(Values)}));
}

Task<void> GatewayDaemon::serveReadiness(HttpExchange &Exchange) {
  if (!this->Protocol->callers().isReadinessCheck(Exchange.target())) {
    co_await Exchange.respond(noSuchTarget());
    co_return;
  }
  HttpAnswer Response;
  const bool Ready = this->State.Ready && !this->State.Leaving;
  Response.Status = Ready ? 200 : 503;
  Response.Body = Ready ? R"({"ready":true})" : R"({"ready":false})";
  co_await Exchange.respond(std::move(Response));
}

Task<void> GatewayDaemon::serveMetrics(HttpExchange &Exchange) {
  this->recordMemoryUse();
  HttpAnswer Page =
      this->Pages.find(Exchange.target().Path).value_or(noSuchTarget());
  co_await Exchange.respond(std::move(Page));
}

void GatewayDaemon::recordMemoryUse() {
  Metrics &Gauges = this->HostMetrics;
  recordMemory(Gauges, readProcessMemory());
  recordMemory(Gauges, "caller_bodies", this->Callers->bodyBytes());
  recordMemory(Gauges, "control_queue", this->Events.waitingBytes());
  recordMemory(Gauges, "peer_queue", this->Peers->outgoingBytes());
}

void GatewayDaemon::run() {
  this->Shutdown.wait(this->Clock, this->Context.Values.FlushAtStop,
                      [this] { return this->openConnections(); });
}

std::size_t GatewayDaemon::openConnections() {
  std::promise<std::size_t> Count;
  this->Traffic.run([&] { Count.set_value(this->Callers->connections()); });
  return Count.get_future().get();
}

} // namespace banyanpick
