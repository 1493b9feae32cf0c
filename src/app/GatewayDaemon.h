/// \file
/// The process of an entry host that serves as a gateway, put together.
#pragma once

#include "app/Control.h"
#include "app/GatewayTraffic.h"
#include "app/GracefulShutdown.h"
#include "app/ProcessPages.h"
#include "app/SettingsWatch.h"
#include "peers/PeerNetwork.h"

#include <boost/asio/signal_set.hpp>

namespace banyanpick {

/// Carries the kernel's actions to where they are done.
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

/// Answers the requests that come to one port.
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

/// Runs one gateway host.
class GatewayDaemon {
public:
  /// Opens all ports and starts all threads. Throws Error when the settings
  /// can't be used or a port is taken. \p File is looked at for changes.
  GatewayDaemon(const Settings &Values, std::string File, Incarnation Life,
                std::uint64_t Seed);
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon &) = delete;
  GatewayDaemon &operator=(const GatewayDaemon &) = delete;

  /// Returns when the host has stopped gracefully.
  void run();

  std::uint16_t callersPort() const { return this->Callers->port(); }

  /// Starts the graceful stop, as SIGTERM does.
  void requestStop() { this->Events.send(StopRequest{}); }

private:
  void openPorts(const Settings &Values);
  void waitForSignals();
  void applySettings(std::shared_ptr<const Settings> Values);
  Task<void> serveReadiness(HttpExchange &Exchange);
  Task<void> serveMetrics(HttpExchange &Exchange);
  /// Answers that are not written yet.
  std::size_t unsentAnswers();

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
