/// \file
/// The entry host's process, put together.
#pragma once

#include "app/ActionRouter.h"
#include "app/Control.h"
#include "app/GracefulShutdown.h"
#include "app/Routes.h"
#include "http/HttpServer.h"

#include <boost/asio/signal_set.hpp>

namespace banyanpick {

/// Runs one entry host.
class Daemon {
public:
  /// Opens all ports and starts all threads. Throws Error when the settings
  /// can't be used or a port is taken.
  Daemon(const Settings &Values, Incarnation Life, std::uint64_t Seed);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Returns when the host has stopped gracefully.
  void run();

  std::uint16_t callersPort() const { return this->Server->port(); }
  std::uint16_t peersPort() const { return this->Peers->port(); }

  /// Starts the graceful stop, as SIGTERM does.
  void requestStop() { this->Events.send(StopRequest{}); }

private:
  void waitForSignals();
  /// Answers that are not written yet.
  std::size_t unsentAnswers();

  ProcessClock Clock;
  Metrics HostMetrics;
  HostState State;
  Control Events;
  TrafficContext Context;
  std::vector<std::unique_ptr<TrafficThread>> Threads;
  std::unique_ptr<PeerNetwork> Peers;
  std::unique_ptr<ActionRouter> Router;
  std::unique_ptr<Routes> Handler;
  std::unique_ptr<net::ssl::context> Tls;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<net::signal_set> Signals;
  GracefulShutdown Shutdown;
};

} // namespace banyanpick
