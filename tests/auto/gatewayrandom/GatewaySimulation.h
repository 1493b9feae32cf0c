/// \file
/// A deployment of gateways in virtual time: whole kernels, a store, upstreams
/// and callers, with faults drawn from a seed. Repeats exactly.
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
  Duration FaultPeriod = seconds(20); ///< Faults begin within it.
};

/// One request as the world knows it.
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
  bool Disturbed = false; ///< Its host died or was paused meanwhile.
};

class GatewaySimulation {
public:
  GatewaySimulation(std::uint64_t Seed, const SimulationOptions &Shape);
  ~GatewaySimulation();

  /// Plays the trouble, then a quiet time, and judges.
  void run();

  const std::vector<std::string> &violations() const {
    return this->Violations;
  }
  std::size_t calls() const { return this->Calls.size(); }
  std::size_t completeCalls() const;
  std::size_t faults() const { return this->FaultCount; }
  /// Reads of the store, by all hosts, in the quiet time.
  std::size_t quietReads() const { return this->QuietReads; }
  std::size_t followingHosts() const;

private:
  struct Host {
    Identity Self;
    std::unique_ptr<Kernel> Decider; ///< Null: the process is not there.
    std::uint64_t Life = 0;
    Time PausedUntil{};
    bool CutFromStore = false;
    bool HearsPeers = true;
    bool ReachesPeers = true;
    Time WakeAt = Never;
    // What its reader of the store has got to.
    bool Follows = true;
    bool Listed = false;
    bool StoreFailed = true;
    LogOffset Next = 0;
    std::uint64_t SeenVersion = 0;
    Time ReadUntil{};
    std::set<AttemptId> Cancelled;
  };

  // The hosts' surroundings.
  void startHost(std::size_t At);
  void killHost(std::size_t At);
  void send(std::size_t At, std::uint64_t Life, Event What);
  void perform(std::size_t At, const Action &Wanted);
  void perform(std::size_t At, const GatewayAction &Wanted);
  void scheduleWake(std::size_t At);
  void deliver(std::size_t From, const SendToPeer &Sent);
  std::optional<std::size_t> hostNamed(const HostId &Id) const;
  void dispatch(std::size_t At, const DispatchRelay &Order);
  void endAttempt(std::size_t At, std::uint64_t Life,
                  const DispatchRelay &Order, const AttemptPlan &Plan,
                  SimulatedCall &Of);
  void endCall(std::size_t At, const RequestId &Id, bool Complete,
               bool ReportedNotRun);
  SimulatedCall *callOf(std::size_t At, const RequestId &Id);
  void readHosts(std::size_t At);

  // The store's reader of one host.
  void readStore(std::size_t At, std::uint64_t Life);
  void noteStore(std::size_t At, bool Reachable);

  // What happens to them.
  void scheduleNextArrival();
  void arrive();
  std::uint64_t promptTokens();
  void scheduleNextFault(Time Until);
  void injectFault();
  void pauseHost(std::size_t At, Duration For);
  void cutFromPeers(std::size_t At, Duration For);
  void replaceUpstream(std::size_t Which, Duration For);
  void after(Duration Delay, std::function<void()> Callback);

  // Judgement.
  void checkCalls();
  void checkHostViews();
  void checkKnownUpstreams(std::size_t At);
  void addViolation(std::string What);

  Random Numbers;
  EventQueue Queue;
  SimulationOptions Shape;
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
  bool Arriving = true;
};

} // namespace banyanpick
