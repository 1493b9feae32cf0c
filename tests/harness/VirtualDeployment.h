/// \file
/// A complete deployment in one process and in virtual time: several kernels,
/// the platform, upstreams, callers and fault injection for all of them.
#pragma once

#include "base/Random.h"
#include "harness/CallerRecord.h"
#include "harness/EventQueue.h"
#include "harness/FakeApplication.h"
#include "harness/FakeEngine.h"
#include "harness/FakeLog.h"
#include "harness/Network.h"
#include "harness/VirtualHost.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace banyanpick {

/// A value that replaces a setting's default.
struct SettingOverride {
  std::string Section;
  std::string Key;
  std::string Value;
};

/// Options of a deployment.
struct DeploymentOptions {
  std::uint64_t Seed = 1;
  /// Time between a kernel's decision and its execution by the driver.
  Duration ActionDelay{};
  Duration HostListLag = seconds(1);
  bool CheckEveryEvent = true;
  std::vector<SettingOverride> Settings;
};

/// An attempt in transit. It may outlive the incarnation of its host and its
/// request.
struct VirtualAttempt {
  VirtualHost *From = nullptr;
  Incarnation Life;
  AttemptId Id;
  std::optional<std::size_t> Caller;
};

/// Simulates a deployment. Add hosts and upstreams, seed the catalogue, run,
/// and inspect callers() and violations().
class VirtualDeployment {
public:
  explicit VirtualDeployment(DeploymentOptions Options);
  ~VirtualDeployment();

  // --- setup
  void addHost(const std::string &Name, const std::string &Zone);
  void addEngine(EngineShape Shape, const std::string &Zone);
  void addApplication(const std::string &Name, const std::string &Service,
                      const std::string &Zone);
  /// Writes a change set directly to the log.
  void seedCatalogue(std::vector<Change> Changes);

  // --- callers; send() returns the position in callers()
  std::size_t send(const std::string &Host, RequestHead Head);
  void resume(std::size_t Caller, const std::string &Host);
  void disconnect(std::size_t Caller);
  std::vector<CallerRecord> &callers() { return this->Callers; }
  /// Returns a new operation key with the current time.
  OperationKey makeOperationKey();
  void sendResolveRequest(const std::string &Host, const std::string &Team,
                          const std::string &Zone,
                          std::function<void(const AnswerResolve &)> Answered);
  void
  sendOperatorRequest(const std::string &Host, const std::string &OperatorKey,
                      OperatorQuestion Question,
                      std::function<void(const OperatorAnswer &)> Answered);

  // --- faults
  void killHost(const std::string &Name);
  /// Starts the host, or restarts it with a new incarnation.
  void startHost(const std::string &Name);
  void stopHost(const std::string &Name);
  void killUpstream(const std::string &Name);
  void restartUpstream(const std::string &Name);
  void freeze(const std::string &Name);
  void thaw(const std::string &Name);
  /// Marks the upstream as leaving in the host list, which shows this after its
  /// lag. With \p AnnouncesLeaving, its load reports and refusals show it at
  /// once.
  void leaveUpstream(const std::string &Name, bool AnnouncesLeaving);
  /// Lets each engine that runs \p Content crash, and restart after
  /// \p RestartAfter.
  void addPoison(Fingerprint Content, Duration RestartAfter);

  // --- time
  Time now() const { return this->Queue.now(); }
  void runFor(Duration Span) { this->Queue.runUntil(this->now() + Span); }
  EventQueue &queue() { return this->Queue; }

  // --- state
  Network &network() { return this->Net; }
  FakeLog &log() { return this->Log; }
  Random &random() { return this->Rng; }
  std::map<std::string, std::unique_ptr<VirtualHost>> &hosts() {
    return this->Hosts;
  }
  std::map<std::string, FakeEngine> &engines() { return this->Engines; }
  std::map<std::string, FakeApplication> &applications() {
    return this->Applications;
  }
  /// Returns the number of events that the kernels have handled.
  std::uint64_t steps() const { return this->Steps; }
  /// Returns the broken guarantees and invariants as text.
  const std::vector<std::string> &violations() const {
    return this->Violations;
  }
  void violation(const std::string &Problem);
  /// Returns whether messages pass in both directions.
  bool isConnected(const std::string &One, const std::string &Other) const;
  /// Returns whether the host can reach the service, directly or through one
  /// running peer.
  bool canLearnFrom(const std::string &Host, const std::string &Service) const;
  /// Returns the sums of the counter metrics of all hosts, by name.
  const std::map<std::string, double> &counts() const { return this->Counts; }
  /// Called with the host name for each log line, to trace a failed run.
  std::function<void(const std::string &, const LogEvent &)> OnLogLine;
  /// Called with the resulting actions for each event that a kernel handled.
  std::function<void(const VirtualHost &, const Event &, Time,
                     const std::vector<Action> &)>
      OnHandled;
  /// Creates a kernel with the settings of this deployment.
  std::unique_ptr<Kernel> makeKernel(const HostListing &Listing,
                                     Incarnation Life, std::uint64_t Seed);
  /// Called for each peer message that is sent and not lost.
  std::function<void(const PeerMessage &)> OnPeerMessage;

private:
  friend class VirtualHost;

  Incarnation newIncarnation();
  void publishHostList();

  // Each of the following executes one action of a host.
  void dispatch(VirtualHost &From, const DispatchAttempt &Wanted,
                const RequestHead &Head);
  void cancel(VirtualHost &From, const CancelAttempt &Wanted);
  void pollLoad(VirtualHost &From, const PollLoad &Wanted);
  void pollCache(VirtualHost &From, const PollCacheEvents &Wanted);
  void takeHold(VirtualHost &From, const TakeHold &Wanted);
  void releaseHold(VirtualHost &From, const ReleaseHold &Wanted);
  void order(VirtualHost &From, const OrderUpstream &Wanted);
  void readHostList(VirtualHost &From);
  void readLog(VirtualHost &From, const ReadLog &Wanted);
  void append(VirtualHost &From, const AppendToLog &Wanted);
  void sendPeer(VirtualHost &From, const SendToPeer &Wanted);
  void measured(const RecordMeasurement &Measurement);
  void resolved(const AnswerResolve &Answer);
  void operatorAnswered(const AnswerOperator &Answer);

  void startOnEngine(FakeEngine &Engine, const DispatchAttempt &Wanted,
                     const RequestHead &Head,
                     const VirtualAttempt &SentAttempt);
  void attachOnEngine(FakeEngine &Engine, const DispatchAttempt &Wanted,
                      const VirtualAttempt &SentAttempt);
  void runOnApplication(FakeApplication &Application, const RequestHead &Head,
                        const VirtualAttempt &SentAttempt);
  static VirtualAttempt makeAttempt(VirtualHost &From,
                                    const AttemptId &Attempt);
  void started(const VirtualAttempt &SentAttempt);
  /// Reports the end of the attempt to its host after \p Delay, unless the host
  /// has restarted.
  void endAfter(Duration Delay, const VirtualAttempt &SentAttempt,
                AttemptOutcome Outcome);
  void breakAfter(Duration Delay, const VirtualAttempt &SentAttempt,
                  bool UpstreamDied);
  void checkDispatch(const VirtualHost &From, const std::string &Upstream,
                     std::optional<Time> LeftAt);
  void pump(FakeEngine &Engine);
  void schedulePump(FakeEngine &Engine);
  void sendChunks(FakeEngine &Engine, EngineStream &Stream, ChunkBatch Chunks);
  void storeInLog(const std::vector<LogRecord> &Records);

  enum class Reachability { Open, Cut, Refused };
  /// Runs \p Work at the upstream after the network delay. Returns Cut when
  /// messages to the upstream are dropped, and Refused when the upstream does
  /// not run.
  Reachability sendToUpstream(const std::string &From,
                              const std::string &Upstream,
                              std::function<void()> Work);
  /// Delivers \p Answer to the given incarnation of the host after the network
  /// delay.
  void reply(const std::string &From, VirtualHost &To, Incarnation Life,
             Event Answer);
  void replyAfter(Duration Delay, VirtualHost &To, Incarnation Life,
                  Event Answer);

  // Each of the following updates the records of callers.
  void accepted(std::size_t Caller, VirtualHost &From,
                const std::string &Token);
  void chunksTo(std::size_t Caller, VirtualHost &From, Fingerprint Content,
                std::uint64_t First, std::uint64_t End);
  void answerTo(std::size_t Caller, VirtualHost &From, const FinalAnswer &);
  void redirectTo(std::size_t Caller, const Address &To,
                  const std::string &Token);
  void connectionLost(std::size_t Caller);
  /// Closes the connections of all callers of the host, including those whose
  /// requests it has not received.
  void connectionsLost(const std::string &Host);

  DeploymentOptions Options;
  Random Rng;
  EventQueue Queue;
  Network Net;
  FakeLog Log;
  std::map<std::string, std::unique_ptr<VirtualHost>> Hosts;
  std::map<std::string, FakeEngine> Engines;
  std::map<std::string, FakeApplication> Applications;
  HostListRead PublishedHostList; ///< Lags by HostListLag.
  std::vector<CallerRecord> Callers;
  std::map<Fingerprint, Duration> Poison;
  std::map<std::uint64_t, std::function<void(const AnswerResolve &)>>
      ResolveCallbacks;
  std::map<std::uint64_t, std::function<void(const OperatorAnswer &)>>
      OperatorCallbacks;
  std::vector<std::function<void()>> PendingLogReads;
  std::uint64_t LastQuestionId = 0;
  std::uint64_t RecordsSeeded = 0;
  std::uint64_t Steps = 0;
  std::vector<std::string> Violations;
  std::map<std::string, double> Counts;
};

} // namespace banyanpick
