#include "app/GatewayDaemon.h"

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

HttpAnswer notHere() {
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
  for (Action &Each : Wanted)
    match(
        Each,
        [&](SendToPeer &Is) { this->Peers.send(Is.To, std::move(Is.Body)); },
        [&](ConnectPeers &Is) { this->Peers.connect(std::move(Is.Peers)); },
        [&](WriteLogLine &Is) { writeLogLine(Is.Line, this->Clock.now()); },
        [&](RecordMeasurement &Is) { this->HostMetrics.record(Is); },
        [&](StopNow &) { this->OnStop(); },
        [&](auto &Is) { ForTraffic.emplace_back(std::move(Is)); });
  if (!ForTraffic.empty())
    this->Traffic.post(std::move(ForTraffic));
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
      RelayHandler(
          [this](HttpExchange &Each) { return this->Traffic.relay(Each); }),
      DirectoryHandler(
          [this](HttpExchange &Each) { return this->Traffic.resolve(Each); }),
      ReadinessHandler(
          [this](HttpExchange &Each) { return this->serveReadiness(Each); }),
      MetricsHandler(
          [this](HttpExchange &Each) { return this->serveMetrics(Each); }) {
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
      this->Context.Values.SettingsLook, this->Clock,
      [this](std::shared_ptr<const Settings> Changed) {
        this->takeSettings(std::move(Changed));
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
  this->Peers.reset(); // Ends its thread, which sends events.
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
  const GatewaySettings &Places = this->Context.Values;
  this->Callers = Open(this->Context.Self.Callers, this->RelayHandler);
  this->Directory = Open(Places.Directory, this->DirectoryHandler);
  this->Readiness = Open(Places.Readiness, this->ReadinessHandler);
  if (Places.Metrics)
    this->MetricsPage = Open(*Places.Metrics, this->MetricsHandler);
}

void GatewayDaemon::waitForSignals() {
  this->Signals = std::make_unique<net::signal_set>(this->Traffic.context(),
                                                    SIGTERM, SIGINT, SIGHUP);
  this->Signals->async_wait([this](const ErrorCode &Failure, int Number) {
    if (Failure)
      return;
    if (Number == SIGHUP) {
      this->Watch->look();
      this->waitForSignals();
      return;
    }
    writeLogLine(logEvent(events::Stopping).build(), this->Clock.now());
    this->requestStop();
    this->waitForSignals();
  });
}

void GatewayDaemon::takeSettings(std::shared_ptr<const Settings> Values) {
  this->Events.send(GatewayEvent(SettingsReloaded{std::move(Values)}));
}

Task<void> GatewayDaemon::serveReadiness(HttpExchange &Each) {
  if (!this->Protocol->callers().isReadinessCheck(Each.target())) {
    co_await Each.respond(notHere());
    co_return;
  }
  HttpAnswer Given;
  const bool Ready = this->State.Ready && !this->State.Leaving;
  Given.Status = Ready ? 200 : 503;
  Given.Body = Ready ? R"({"ready":true})" : R"({"ready":false})";
  co_await Each.respond(std::move(Given));
}

Task<void> GatewayDaemon::serveMetrics(HttpExchange &Each) {
  HttpAnswer Page = this->Pages.find(Each.target().Path).value_or(notHere());
  co_await Each.respond(std::move(Page));
}

void GatewayDaemon::run() {
  this->Shutdown.wait(this->Clock, this->Context.Values.FlushAtStop,
                      [this] { return this->unsentAnswers(); });
}

std::size_t GatewayDaemon::unsentAnswers() {
  std::promise<std::size_t> Size;
  this->Traffic.run([&] { Size.set_value(this->Traffic.open()); });
  return Size.get_future().get();
}

} // namespace banyanpick
