/// \file
/// A whole deployment in one process and in virtual time: several kernels,
/// the platform, upstreams, callers and every fault they may meet.
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

/// One value that differs from a setting's default.
struct SettingOverride {
  std::string Section;
  std::string Key;
  std::string Value;
};

/// How a deployment starts.
struct DeploymentOptions {
  std::uint64_t Seed = 1;
  /// Between a kernel's decision and the driver carrying it out.
  Duration ActionDelay{};
  Duration HostListLag = seconds(1);
  bool CheckEveryEvent = true;
  std::vector<SettingOverride> Settings;
};

/// A try as it travels: it may outlive its host and its request.
struct VirtualAttempt {
  VirtualHost *From = nullptr;
  Incarnation Life;
  AttemptId Id;
  std::optional<std::size_t> Caller;
};

/// Add hosts and upstreams, seed the catalogue, then run and look at callers().
class VirtualDeployment {
public:
  explicit VirtualDeployment(DeploymentOptions Options);
  ~VirtualDeployment();

  // --- what there is
  void addHost(const std::string &Name, const std::string &Zone);
  void addEngine(EngineShape Shape, const std::string &Zone);
  void addApplication(const std::string &Name, const std::string &Service,
                      const std::string &Zone);
  /// Writes a change set straight into the log.
  void seedCatalogue(std::vector<Change> Changes);

  // --- callers; the number returned is the position in callers()
  std::size_t send(const std::string &Host, RequestHead Head);
  void resume(std::size_t Caller, const std::string &Host);
  void disconnect(std::size_t Caller);
  std::vector<CallerRecord> &callers() { return this->Callers; }
  /// A new operation key made now.
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
  /// Starts it, or replaces it by a new life.
  void startHost(const std::string &Name);
  void stopHost(const std::string &Name);
  void killUpstream(const std::string &Name);
  void restartUpstream(const std::string &Name);
  void freeze(const std::string &Name);
  void thaw(const std::string &Name);
  /// \p AnnouncesLeaving: its reports and refusals say so at once; the host
  /// list says so after its lag in any case.
  void leaveUpstream(const std::string &Name, bool AnnouncesLeaving);
  /// Content that kills each engine that runs it.
  void addPoison(Fingerprint Content, Duration RestartAfter);

  // --- time
  Time now() const { return this->Queue.now(); }
  void runFor(Duration Span) { this->Queue.runUntil(this->now() + Span); }
  EventQueue &queue() { return this->Queue; }

  // --- what can be looked at
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
  /// Events that kernels have handled.
  std::uint64_t steps() const { return this->Steps; }
  /// Broken rules, in words.
  const std::vector<std::string> &violations() const {
    return this->Violations;
  }
  void violation(const std::string &Problem);
  /// Whether messages pass in both directions.
  bool isConnected(const std::string &One, const std::string &Other) const;
  /// Whether the host hears of what the service tells, itself or from a peer.
  bool canLearnFrom(const std::string &Host, const std::string &Service) const;
  /// Counted measurements of all hosts, by name.
  const std::map<std::string, double> &counts() const { return this->Counts; }
  /// Called for each log line; for tracing a failed run.
  std::function<void(const std::string &, const LogEvent &)> OnLogLine;
  /// Called for each event that a kernel handled.
  std::function<void(const VirtualHost &, const Event &, Time,
                     const std::vector<Action> &)>
      OnHandled;
  /// A kernel as the hosts of this deployment get it.
  std::unique_ptr<Kernel> makeKernel(const HostListing &Listing,
                                     Incarnation Life, std::uint64_t Seed);
  /// Called for each message that an entry host sends another.
  std::function<void(const PeerMessage &)> OnPeerMessage;

private:
  friend class VirtualHost;

  Incarnation newIncarnation();
  void publishHostList();

  /// Each carries out one action of \p From.
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
  /// Tells the host of the try's end after \p Delay, if it still lives.
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

  /// Runs \p Todo at the upstream after the way there; false when the way is
  /// cut or nothing listens.
  enum class Reachability { Open, Cut, Refused };
  Reachability sendToUpstream(const std::string &From,
                              const std::string &Upstream,
                              std::function<void()> Work);
  /// Hands \p Answer to this life of the host after the way back.
  void reply(const std::string &From, VirtualHost &To, Incarnation Life,
             Event Answer);
  void replyAfter(Duration Delay, VirtualHost &To, Incarnation Life,
                  Event Answer);

  /// What callers see.
  void accepted(std::size_t Caller, VirtualHost &From,
                const std::string &Token);
  void chunksTo(std::size_t Caller, VirtualHost &From, Fingerprint Content,
                std::uint64_t First, std::uint64_t End);
  void answerTo(std::size_t Caller, VirtualHost &From, const FinalAnswer &);
  void redirectTo(std::size_t Caller, const Address &To,
                  const std::string &Token);
  void connectionLost(std::size_t Caller);
  /// Of all callers connected to the host, heard by it or not.
  void connectionsLost(const std::string &Host);

  DeploymentOptions Options;
  Random Rng;
  EventQueue Queue;
  Network Net;
  FakeLog Log;
  std::map<std::string, std::unique_ptr<VirtualHost>> Hosts;
  std::map<std::string, FakeEngine> Engines;
  std::map<std::string, FakeApplication> Applications;
  HostListRead
      PublishedHostList; ///< What the host list shows now, behind its lag.
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
