/// \file
/// A test bench that drives the kernel of a gateway with events.
#pragma once

#include "base/EventNumbers.h"
#include "fakes/GatewayDeclarations.h"
#include "kernel/Kernel.h"

#include <optional>
#include <string>
#include <vector>

namespace banyanpick {

/// Returns a heartbeat of a ready peer that lists itself. Peers connect to the
/// port after the one for callers.
Heartbeat heartbeatOf(const char *Host, std::uint16_t CallersPort);

/// One host with a configuration of three routes at `a.example`:
/// `/safe/` (repeatable, two attempts), `/once/` (at most once) and `/stream/`
/// (resumable, two attempts) to the service `desk`, or, for streams, `ring`.
class GatewayBench {
public:
  /// \p Changes are applied to the default settings.
  explicit GatewayBench(std::span<const SettingChange> Changes = {});
  explicit GatewayBench(const Settings &Values);

  /// Passes the event to the kernel and records the resulting actions.
  void send(const Event &Input);
  void send(GatewayEvent Input) { this->send(Event(std::move(Input))); }
  /// Advances the time and sends a Tick whenever the kernel needs one.
  void advance(Duration For);

  void configure(std::uint64_t Version);
  /// Registers engines of the service named `e1`, `e2` ... in the host's zone.
  void registerEngines(const char *Service, int Count, LogOffset From = 0);
  /// Registers an engine of the service `desk` in the zone.
  void registerEngineIn(const char *Zone, const char *Name, LogOffset Offset);
  /// Sends a request with a valid key to the path.
  /// Without \p Content, no other request has the same content.
  RequestId arrive(std::string Path, std::uint64_t PromptTokens = 0,
                   Duration Remaining = seconds(5),
                   std::optional<Fingerprint> Content = std::nullopt);
  /// Returns a request with a valid key to the path.
  static RelayHead headOf(const RequestId &Id, std::string Path);
  /// Delivers a peer's notice that the content crashed the engine.
  void reportCrash(Fingerprint Content, const char *Engine);
  /// Delivers an engine's load report, which identifies its incarnation.
  void report(const UpstreamId &Engine);
  void endAttempt(const AttemptId &Attempt, RelayOutcome Outcome);
  /// Delivers an answer in which the engine asks this host to back off.
  void requestBackoff(const UpstreamId &Engine, Duration For);

  /// Returns all actions of one type since the start.
  template <class Wanted> std::vector<Wanted> all() const {
    std::vector<Wanted> Result;
    for (const GatewayAction &Action : this->Done)
      if (const auto *Found = std::get_if<Wanted>(&Action))
        Result.push_back(*Found);
    return Result;
  }
  template <class Wanted> Wanted last() const {
    const auto All = this->all<Wanted>();
    return All.empty() ? Wanted{} : All.back();
  }
  /// Returns all messages of one type that were sent to any peer.
  template <class Wanted> std::vector<Wanted> sent() const {
    std::vector<Wanted> Result;
    for (const SendToPeer &Message : this->Sent)
      if (const auto *Found = std::get_if<Wanted>(&Message.Body))
        Result.push_back(*Found);
    return Result;
  }
  void receive(const char *From, PeerMessageBody Body);
  const std::vector<Address> &resolved() const { return this->Hosts; }
  /// Returns how often the event was logged.
  std::size_t logged(const EventKind &Kind) const;
  Kernel &kernel() { return this->Decider; }
  bool hasStopped() const { return this->Stopped; }

  Time Now{seconds(1000)};

private:
  Kernel Decider;
  std::vector<GatewayAction> Done;
  std::vector<SendToPeer> Sent;
  std::vector<WriteLogLine> Lines;
  std::vector<Address> Hosts;
  std::uint64_t Requests = 0;
  bool Stopped = false;
};

} // namespace banyanpick
