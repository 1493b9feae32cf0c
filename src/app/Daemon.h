/// \file
/// The process of an entry host.
#pragma once

#include "app/ActionRouter.h"
#include "app/Control.h"
#include "app/GracefulShutdown.h"
#include "app/Routes.h"
#include "http/HttpServer.h"

#include <boost/asio/signal_set.hpp>

namespace banyanpick {

/// Owns and connects all parts of one entry host.
class Daemon {
public:
  /// Opens all ports and starts all threads. Throws Error when the settings are
  /// invalid or a port is in use.
  Daemon(const Settings &Values, Incarnation Life, std::uint64_t Seed);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Blocks until the graceful shutdown is complete.
  void run();

  std::uint16_t callersPort() const { return this->Server->port(); }
  std::uint16_t peersPort() const { return this->Peers->port(); }

  /// Starts the graceful shutdown, like SIGTERM.
  void requestStop() { this->Events.send(StopRequest{}); }

private:
  void waitForSignals();
  /// Returns the number of answers that are not yet written to their callers,
  /// and of connections on which a request may be under way.
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
