/// \file
/// A deployment of gateways in virtual time: complete kernels, a store,
/// upstreams and callers, with faults drawn from a seed. Runs are reproducible.
#pragma once

#include "auto/gatewayrandom/SimulatedStore.h"
#include "auto/gatewayrandom/SimulatedUpstreams.h"
#include "harness/EventQueue.h"
#include "kernel/Kernel.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace banyanpick {

struct SimulationOptions {
  std::size_t Hosts = 5;
  std::size_t Upstreams = 6;
  Duration FaultPeriod = seconds(20); ///< Faults begin within this time.
  bool Evacuations = false; ///< Operators evacuate a zone and take it back.
};

/// The actual state of one request.
struct SimulatedCall {
  RequestKind Kind = RequestKind::AtMostOnce;
  std::size_t Host = 0;
  std::uint64_t HostLife = 0;
  RequestId Id;
  Time ArrivedAt{};
  Time Deadline{};
  int Runs = 0;
  std::optional<Time> EndedAt;
  bool Complete = false;
  bool ReportedNotRun = false;
  bool Disturbed = false; ///< Its host died or was paused in the meantime.
};

/// The zone that is evacuated. The other zones have upstreams of all services.
inline ZoneId evacuatedZone() { return ZoneId("z1"); }

class GatewaySimulation {
public:
  GatewaySimulation(std::uint64_t Seed, const SimulationOptions &Options);
  ~GatewaySimulation();

  /// Simulates the fault period and a quiet time, then checks all guarantees.
  void run();

  const std::vector<std::string> &violations() const {
    return this->Violations;
  }
  std::size_t calls() const { return this->Calls.size(); }
  std::size_t completeCalls() const;
  std::size_t faults() const { return this->FaultCount; }
  /// Number of store reads by all hosts in the quiet time.
  std::size_t quietReads() const { return this->QuietReads; }
  std::size_t followingHosts() const;

private:
  struct Host {
    Identity Self;
    std::unique_ptr<Kernel> Decider; ///< Null: the process is not running.
    std::uint64_t Life = 0;
    Time PausedUntil{};
    bool CutFromStore = false;
    bool HearsPeers = true;
    bool ReachesPeers = true;
    Time WakeAt = Never;
    // State of the host's store reader.
    bool Follows = false;
    bool Listed = false;
    bool StoreFailed = true;
    LogOffset Next = 0;
    LogOffset NextEvacuation = 0;
    std::uint64_t SeenVersion = 0;
    Time ReadUntil{};
    std::set<AttemptId> Cancelled;
  };

  // The environment of the hosts.
  void startHost(std::size_t At);
  void killHost(std::size_t At);
  void send(std::size_t At, std::uint64_t Life, Event Input);
  void perform(std::size_t At, const Action &Wanted);
  void perform(std::size_t At, const GatewayAction &Wanted);
  void scheduleWake(std::size_t At);
  void deliver(std::size_t From, const SendToPeer &Sent);
  std::optional<std::size_t> hostNamed(const HostId &Id) const;
  void dispatch(std::size_t At, const DispatchRelay &Order);
  void endAttempt(std::size_t At, std::uint64_t Life,
                  const DispatchRelay &Order, const AttemptPlan &Plan,
                  SimulatedCall &Call);
  void endCall(std::size_t At, const RequestId &Id, bool Complete,
               bool ReportedNotRun);
  SimulatedCall *callOf(std::size_t At, const RequestId &Id);
  void readHosts(std::size_t At);

  // The store reader of one host.
  void readStore(std::size_t At, std::uint64_t Life);
  void noteStore(std::size_t At, bool Reachable);

  // Arrivals and faults.
  void scheduleNextArrival();
  void arrive();
  std::uint64_t promptTokens();
  void scheduleNextFault(Time Until);
  void injectFault();
  void pauseHost(std::size_t At, Duration For);
  void cutFromPeers(std::size_t At, Duration For);
  void replaceUpstream(std::size_t Which, Duration For);
  void after(Duration Delay, std::function<void()> Callback);

  // Checks.
  void checkCalls();
  void checkHostViews();
  void checkKnownUpstreams(std::size_t At);
  void checkEvacuation(const DispatchRelay &Order);
  void addViolation(std::string Violation);

  Random Numbers;
  EventQueue Queue;
  SimulationOptions Options;
  SimulatedStore Store;
  SimulatedUpstreams Upstreams;
  std::vector<Host> Hosts;
  std::vector<std::unique_ptr<SimulatedCall>> Calls;
  std::map<std::pair<std::size_t, RequestId>, SimulatedCall *> ByRequest;
  std::vector<std::string> Violations;
  std::uint64_t Lives = 0;
  std::uint64_t Requests = 0;
  std::size_t FaultCount = 0;
  std::size_t QuietReads = 0;
  bool Quiet = false;
  Time QuietSince{};
  bool Arriving = true;
};

} // namespace banyanpick
