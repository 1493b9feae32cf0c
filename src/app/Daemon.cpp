#include "app/Daemon.h"

#include "app/PeerEvents.h"
#include "base/EventNumbers.h"
#include "http/TlsServer.h"
#include "logging/LineLog.h"

#include <csignal>
#include <future>

namespace banyanpick {

namespace {

std::vector<net::io_context *>
contextsOf(std::span<const std::unique_ptr<TrafficThread>> Threads) {
  std::vector<net::io_context *> Result;
  for (const auto &Thread : Threads)
    Result.push_back(&Thread->context());
  return Result;
}

} // namespace

Daemon::Daemon(const Settings &Values, Incarnation Life, std::uint64_t Seed)
    : Events(this->Clock), Context{identityFrom(Values, Life),
                                   trafficSettings(Values),
                                   platformSettings(Values),
                                   this->Events,
                                   this->HostMetrics,
                                   this->Clock} {
  const HttpSettings Http = httpSettings(Values);
  const std::uint64_t Count = this->Context.Traffic.Threads;
  for (std::uint64_t Index = 0; Index < Count; ++Index)
    this->Threads.push_back(
        std::make_unique<TrafficThread>(Index, Count, this->Context));
  const Identity &Self = this->Context.Self;
  this->Peers = std::make_unique<PeerNetwork>(
      Self.Host, Life, Self.Peers, peerSettings(Values),
      peerEvents(this->Events, this->HostMetrics, this->Clock));
  this->Router = std::make_unique<ActionRouter>(
      this->Threads, *this->Peers, this->HostMetrics, this->Clock, [this] {
        this->Server->stop();
        this->Shutdown.allow();
      });
  this->Handler = std::make_unique<Routes>(this->Threads, this->Events,
                                           this->State, this->HostMetrics);
  this->Tls = makeTlsContext(Http);
  const auto Contexts = contextsOf(this->Threads);
  this->Server = std::make_unique<HttpServer>(Contexts, Self.Callers, Http,
                                              *this->Handler, this->Tls.get());
  this->Events.start(std::make_unique<Kernel>(Self, Values, Seed),
                     *this->Router, this->State);
  this->waitForSignals();
  for (const auto &Thread : this->Threads)
    Thread->start();
  writeLogLine(logEvent(events::Started)
                   .with("host", Self.Host.Value)
                   .with("zone", Self.Zone.Value)
                   .with("callers_port", this->callersPort())
                   .with("peers_port", this->peersPort())
                   .build(),
               this->Clock.now());
}

Daemon::~Daemon() {
  this->Peers.reset(); // Stops its thread, which sends events.
  for (const auto &Thread : this->Threads)
    Thread->stop();
  this->Events.stop();
}

void Daemon::waitForSignals() {
  this->Signals = std::make_unique<net::signal_set>(
      this->Threads.front()->context(), SIGTERM, SIGINT);
  this->Signals->async_wait([this](const ErrorCode &Failure, int) {
    if (Failure)
      return;
    writeLogLine(logEvent(events::Stopping).build(), this->Clock.now());
    this->requestStop();
  });
}

void Daemon::run() {
  this->Shutdown.wait(this->Clock, this->Context.Traffic.FlushAtStop,
                      [this] { return this->unsentAnswers(); });
}

std::size_t Daemon::unsentAnswers() {
  std::size_t Count = 0;
  for (const auto &Thread : this->Threads) {
    std::promise<std::size_t> Size;
    Thread->post([&] { Size.set_value(Thread->relays().unsentAnswers()); });
    Count += Size.get_future().get();
  }
  // Asked last, as the first thread stops the server before it answers.
  return Count + this->Server->connections();
}

} // namespace banyanpick
