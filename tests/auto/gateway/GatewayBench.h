/// \file
/// A gateway's kernel, driven by events.
#pragma once

#include "kernel/Kernel.h"

#include <string>
#include <vector>

namespace banyanpick {

/// One host with a configuration of three routes at `a.example`:
/// `/safe/` (repeatable, two attempts), `/once/` (at most once) and `/stream/`
/// (resumable, two attempts) to the service `desk`, or, for streams, `ring`.
class GatewayBench {
public:
  GatewayBench();

  /// Handles the event and keeps what it leads to.
  void send(const Event &What);
  void send(GatewayEvent What) { this->send(Event(std::move(What))); }
  /// Lets time pass, with a Tick whenever the kernel wants one.
  void advance(Duration For);

  void configure(std::uint64_t Version);
  /// Engines named `e1`, `e2` ... of the service, all in the host's zone.
  void registerEngines(const char *Service, int Count, LogOffset From = 0);
  /// A request to the path, with its key.
  RequestId arrive(std::string Path, std::uint64_t PromptTokens = 0,
                   Duration Remaining = seconds(5));
  /// An engine's own report, by which it names the life that it is in.
  void report(const UpstreamId &Life);
  void endAttempt(const AttemptId &Try, RelayOutcome Outcome);
  /// An answer of the engine asks this host for rest.
  void requestBackoff(const UpstreamId &Engine, Duration For);

  /// All actions of the kind since the start.
  template <class Wanted> std::vector<Wanted> all() const {
    std::vector<Wanted> Result;
    for (const GatewayAction &Each : this->Done)
      if (const auto *Is = std::get_if<Wanted>(&Each))
        Result.push_back(*Is);
    return Result;
  }
  template <class Wanted> Wanted last() const {
    const auto All = this->all<Wanted>();
    return All.empty() ? Wanted{} : All.back();
  }
  /// Messages of the kind to any peer.
  template <class Wanted> std::vector<Wanted> sent() const {
    std::vector<Wanted> Result;
    for (const SendToPeer &Each : this->Sent)
      if (const auto *Is = std::get_if<Wanted>(&Each.Body))
        Result.push_back(*Is);
    return Result;
  }
  void receive(const char *From, PeerMessageBody Body);
  const std::vector<Address> &resolved() const { return this->Hosts; }
  bool hasStopped() const { return this->Stopped; }

  Time Now{seconds(1000)};

private:
  Kernel Decider;
  std::vector<GatewayAction> Done;
  std::vector<SendToPeer> Sent;
  std::vector<Address> Hosts;
  std::uint64_t Requests = 0;
  bool Stopped = false;
};

} // namespace banyanpick
