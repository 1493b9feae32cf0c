/// \file
/// The process of an entry host that serves as a gateway.
#pragma once

#include "app/Control.h"
#include "app/GatewayTraffic.h"
#include "app/GracefulShutdown.h"
#include "app/ProcessPages.h"
#include "app/SettingsWatch.h"
#include "peers/PeerNetwork.h"

#include <boost/asio/signal_set.hpp>

namespace banyanpick {

/// Routes the kernel's actions to the traffic thread, the peer network, the log
/// and the metrics.
class GatewayRouter : public ActionPerformer {
public:
  GatewayRouter(GatewayTraffic &Traffic, PeerNetwork &Peers,
                Metrics &HostMetrics, const ProcessClock &Clock,
                std::function<void()> OnStop);

  void perform(std::vector<Action> Wanted) override;

private:
  GatewayTraffic &Traffic;
  PeerNetwork &Peers;
  Metrics &HostMetrics;
  const ProcessClock &Clock;
  std::function<void()> OnStop;
};

/// Serves the requests that arrive at one port.
class GatewayHandler : public HttpHandler {
public:
  using Function = std::function<Task<void>(HttpExchange &)>;
  explicit GatewayHandler(Function Serve) : Serve(std::move(Serve)) {}
  Task<void> serve(HttpExchange &Exchange) override {
    return this->Serve(Exchange);
  }

private:
  Function Serve;
};

/// Owns and connects all parts of one gateway host.
class GatewayDaemon {
public:
  /// Opens all ports and starts all threads. Throws Error when the settings are
  /// invalid or a port is in use. The settings \p File is polled for changes.
  GatewayDaemon(const Settings &Values, std::string File, Incarnation Life,
                std::uint64_t Seed);
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon &) = delete;
  GatewayDaemon &operator=(const GatewayDaemon &) = delete;

  /// Blocks until the graceful shutdown is complete.
  void run();

  std::uint16_t callersPort() const { return this->Callers->port(); }

  /// Starts the graceful shutdown, like SIGTERM.
  void requestStop() { this->Events.send(StopRequest{}); }

private:
  void openPorts(const Settings &Values);
  void waitForSignals();
  void applySettings(std::shared_ptr<const Settings> Values);
  Task<void> serveReadiness(HttpExchange &Exchange);
  Task<void> serveMetrics(HttpExchange &Exchange);
  /// Updates the gauges of the memory that the parts of this host use.
  void recordMemoryUse();
  /// Returns the number of connections of callers. Once the server has stopped,
  /// each of them has a request without a complete answer.
  std::size_t openConnections();

  ProcessClock Clock;
  Metrics HostMetrics;
  HostState State;
  Control Events;
  std::unique_ptr<GatewayProtocol> Protocol;
  GatewayContext Context;
  GatewayTraffic Traffic;
  ProcessPages Pages;
  GatewayHandler RelayHandler;
  GatewayHandler DirectoryHandler;
  GatewayHandler ReadinessHandler;
  GatewayHandler MetricsHandler;
  std::unique_ptr<PeerNetwork> Peers;
  std::unique_ptr<GatewayRouter> Router;
  std::unique_ptr<HttpServer> Callers;
  std::unique_ptr<HttpServer> Directory;
  std::unique_ptr<HttpServer> Readiness;
  std::unique_ptr<HttpServer> MetricsPage;
  std::unique_ptr<SettingsWatch> Watch;
  std::unique_ptr<net::signal_set> Signals;
  GracefulShutdown Shutdown;
};

} // namespace banyanpick
