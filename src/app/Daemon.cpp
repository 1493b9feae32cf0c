#include "app/Daemon.h"

#include "base/EventNumbers.h"
#include "http/TlsServer.h"
#include "logging/LineLog.h"

#include <csignal>

namespace banyanpick {

namespace {

/// How often a stopping host looks whether all answers are written.
constexpr milliseconds FlushPause(20);

std::vector<net::io_context *>
contextsOf(std::span<const std::unique_ptr<TrafficThread>> Threads) {
  std::vector<net::io_context *> Result;
  for (const auto &Each : Threads)
    Result.push_back(&Each->context());
  return Result;
}

} // namespace

Daemon::Daemon(const Settings &Values, Incarnation Life, std::uint64_t Seed)
    : Events(this->Clock), Context{identityFrom(Values, Life),
                                   trafficSettings(Values),
                                   platformSettings(Values),
                                   this->Events,
                                   this->Measured,
                                   this->Clock} {
  const HttpSettings Http = httpSettings(Values);
  const std::uint64_t Count = this->Context.Traffic.Threads;
  for (std::uint64_t Index = 0; Index < Count; ++Index)
    this->Threads.push_back(
        std::make_unique<TrafficThread>(Index, Count, this->Context));
  const Identity &Self = this->Context.Self;
  this->Peers = std::make_unique<PeerNetwork>(
      Self.Host, Life, Self.Peers, peerSettings(Values), this->peerListener());
  this->Router = std::make_unique<ActionRouter>(
      this->Threads, *this->Peers, this->Measured, this->Clock, [this] {
        std::call_once(this->StoppedOnce,
                       [this] { this->Stopped.set_value(); });
      });
  this->Handler = std::make_unique<Routes>(this->Threads, this->Events,
                                           this->State, this->Measured);
  this->Tls = makeTlsContext(Http);
  const auto Contexts = contextsOf(this->Threads);
  this->Server = std::make_unique<HttpServer>(Contexts, Self.Callers, Http,
                                              *this->Handler, this->Tls.get());
  this->Events.start(std::make_unique<Kernel>(Self, Values, Seed),
                     *this->Router, this->State);
  this->waitForSignals();
  for (const auto &Each : this->Threads)
    Each->start();
  writeLogLine(logEvent(events::Started)
                   .with("host", Self.Host.Value)
                   .with("zone", Self.Zone.Value)
                   .with("callers_port", this->callersPort())
                   .with("peers_port", this->peersPort())
                   .build(),
               this->Clock.now());
}

Daemon::~Daemon() {
  this->Peers.reset(); // Ends its thread, which sends events.
  for (const auto &Each : this->Threads)
    Each->stop();
  this->Events.stop();
}

PeerNetwork::Listener Daemon::peerListener() {
  return {
      [this](PeerMessage Message) {
        this->Events.send(PeerMessageReceived{std::move(Message)});
      },
      [this](std::string_view Why) {
        this->Measured.record(
            {RecordMeasurement::Kind::Count, "peer_messages_malformed", "", 1});
        writeLogLine(logEvent(events::BadPeerMessage).with("why", Why).build(),
                     this->Clock.now());
      }};
}

void Daemon::waitForSignals() {
  this->Signals = std::make_unique<net::signal_set>(
      this->Threads.front()->context(), SIGTERM, SIGINT);
  this->Signals->async_wait([this](const ErrorCode &Failure, int) {
    if (Failure)
      return;
    writeLogLine(logEvent(events::Stopping).build(), this->Clock.now());
    this->askToStop();
  });
}

void Daemon::run() {
  this->Stopped.get_future().wait();
  this->flush();
  writeLogLine(logEvent(events::Stopped).build(), this->Clock.now());
}

void Daemon::flush() {
  const Time Until = this->Clock.now() + this->Context.Traffic.FlushAtStop;
  const auto Unsent = [this] {
    std::size_t Count = 0;
    for (const auto &Each : this->Threads) {
      std::promise<std::size_t> Size;
      Each->post([&] { Size.set_value(Each->relays().unsent()); });
      Count += Size.get_future().get();
    }
    return Count;
  };
  while (this->Clock.now() < Until && Unsent() > 0)
    std::this_thread::sleep_for(FlushPause);
}

} // namespace banyanpick
