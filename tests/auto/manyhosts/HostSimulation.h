/// \file
/// Simulates the kernels of hundreds of gateways in virtual time. They exchange
/// peer messages and read one store. Tests count the traffic between the hosts
/// and check what each host knows.
#pragma once

#include "auto/manyhosts/SimulatedConnections.h"
#include "base/Random.h"
#include "fakes/GatewayDeclarations.h"
#include "harness/EventQueue.h"
#include "kernel/Kernel.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace banyanpick {

class HostSimulation {
public:
  static constexpr std::size_t Zones = 5;
  static constexpr std::uint64_t ShortPrompt = 5000; ///< Tokens.
  static constexpr seconds CallerTimeLimit{10};
  static constexpr milliseconds StoreDelay{4};

  /// Starts all hosts at once, distributed over the zones in turn. Three of
  /// them are seeds.
  /// \p Changes are applied to the settings of all hosts.
  /// \p Processors are those of the first hosts; the others have a whole core.
  HostSimulation(std::size_t Hosts, std::size_t Engines,
                 std::vector<SettingChange> Changes = {},
                 std::span<const ProcessorShare> Processors = {});
  ~HostSimulation();

  /// The resources of a host. They are unlimited if not set.
  struct Resources {
    double Cores = 0;
    double BytesPerSecond = 0; ///< Bandwidth of its link in each direction.
  };
  /// Counts the encoded size of all messages, which takes time.
  void countBytes() { this->CountsBytes = true; }
  void setResources(std::size_t Host, const Resources &NewResources) {
    this->Hosts[Host].Available = NewResources;
  }
  /// Returns the maximum number of bytes of messages that the host has buffered
  /// at once, to be sent or processed. Counted only for hosts with resources.
  std::size_t peakBufferedBytes(std::size_t Host) const {
    return this->Hosts[Host].PeakBufferedBytes;
  }
  /// Returns the number of ordered pairs of running, connected hosts of which
  /// the first regards the second as not alive.
  std::size_t falseSuspicions() const;

  /// Sets a value of section [engine_load] for processes that start later.
  void setEngineLoad(std::string Key, std::string Value) {
    this->EngineLoadValues[std::move(Key)] = std::move(Value);
  }
  void run(Duration For);
  void kill(std::size_t Host);
  /// Asks the host to stop, as an operator does before a restart. Its process
  /// exits by itself. Callers that it refuses meanwhile retry at another host.
  void stop(std::size_t Host);
  /// Starts a new process on the host, without any state.
  void restart(std::size_t Host);
  /// What engines do with the requests of a host whose process ends.
  enum class OrphanedWork {
    Dropped, ///< The host closes its connections.
    Runs     ///< The host loses power: the requests run until they end.
  };
  /// Kills all hosts. Their callers, and callers that send a request meanwhile,
  /// come again when restartAll() is called, at hosts chosen at random among
  /// \p Named.
  void killAll(OrphanedWork Work, std::span<const std::size_t> Named);
  void restartAll();
  /// Makes engines prefill one prompt after the other, for this long each.
  void setPrefill(Duration Each) { this->PrefillTime = Each; }
  /// Returns the requests that run or wait on each engine.
  std::vector<std::size_t> engineLoads() const;
  /// A request whose answer began.
  struct Answered {
    Time RequestedAt{}; ///< The first request of the caller.
    Duration Took{};    ///< Until the first token.
  };
  std::size_t size() const { return this->Hosts.size(); }
  std::size_t engines() const { return this->Engines.size(); }
  bool isRunning(std::size_t Host) const {
    return this->Hosts[Host].Process != nullptr;
  }

  /// Publishes a version of the configuration in the store.
  void publish(std::uint64_t Version);
  /// Sets the size of the documents of later configurations.
  void setDocumentSize(std::size_t Bytes) { this->DocumentSize = Bytes; }
  /// Marks the registration of the engine as draining.
  void drain(std::size_t Engine);
  /// Writes or removes the record that evacuates the zone with this number.
  void evacuate(std::size_t Zone, bool Active);
  /// Makes the store drop all records that ended an evacuation.
  void dropEvacuationHistory();
  bool isEvacuated(std::size_t Host, std::size_t Zone) const;
  /// Returns the index of the zone of a host or an engine.
  std::size_t zoneOf(std::size_t Index) const { return Index % Zones; }
  /// Makes the store refuse all reads of the host.
  void refuseStoreReads(std::size_t Host) { this->RefusedReaders.insert(Host); }
  /// Returns whether the host reads the store itself.
  bool isStoreReader(std::size_t Host) const {
    return this->Hosts[Host].ReadsStore;
  }
  /// Makes the engine close every connection at once.
  void setFailing(std::size_t Engine, bool On);
  /// What happens to the connections of a host that has lost its links to all
  /// engines.
  enum class LinkLoss {
    Hang,      ///< Nothing arrives; new connections time out.
    Reset,     ///< They are reset; new ones are refused.
    RefuseNew, ///< They live on; new ones are refused.
  };
  /// Cuts the host off from all engines, or restores its links.
  void setCutOff(std::size_t Host, std::optional<LinkLoss> How);
  /// Makes every connection of the host to an engine fail at once.
  void setLinkFailed(std::size_t Host, bool On);
  /// Sets the limit of requests per second that the engine's answers state, or
  /// removes it.
  void setLimit(std::size_t Engine, std::optional<double> PerSecond);
  /// Declares how many requests per second a cold engine accepts. Takes effect
  /// with the next publish().
  void setColdRate(double PerSecond) { this->DeclaredColdRate = PerSecond; }
  /// Makes the engine cold, as its registration says from now on.
  void setCold(std::size_t Engine, Duration For);
  bool isCold(std::size_t Engine) const {
    return this->Queue.now() < this->coldUntil(Engine);
  }
  const std::string &engineName(std::size_t Engine) const {
    return this->Engines[Engine].Id.Value;
  }
  const std::string &hostName(std::size_t Host) const {
    return this->Hosts[Host].Self.Host.Value;
  }
  /// Makes the engine's registration disappear.
  void unregister(std::size_t Engine);
  /// Makes the engine refuse all requests and ask for a backoff of \p Backoff
  /// each time. Without a value, the engine serves requests again.
  void setShedding(std::size_t Engine, std::optional<Duration> Backoff);
  /// Makes the engine's answers, but not its registration, signal that it is
  /// leaving.
  void setSignalsLeaving(std::size_t Engine) {
    this->SignalsLeaving.insert(this->Engines[Engine].Id);
  }
  /// Pauses the host. Events that arrive meanwhile are delayed.
  void pause(std::size_t Host, Duration For);
  bool isPaused(std::size_t Host) const {
    return this->Queue.now() < this->Hosts[Host].PausedUntil;
  }
  /// Drops all messages between the host and its peers.
  void setPartitioned(std::size_t Host, bool On);
  /// A request that reached an engine.
  struct Arrival {
    Time At{};
    std::size_t From = 0;
    Duration RequestedBackoff{};   ///< Requested by the refusal; zero: none.
    Time AnsweredAt = Never;       ///< Never: the caller disconnected before.
    bool SignalledLeaving = false; ///< The answer signalled leaving.
    bool AtColdEngine = false;     ///< The engine was cold.
  };
  const std::vector<Arrival> &arrivals(std::size_t Engine) const;
  Time now() const { return this->Queue.now(); }

  /// Sends a request with a short prompt to the host. It runs for \p RunsFor.
  /// Its caller retries once if asked to, and disconnects if no answer has
  /// begun after two seconds.
  void sendRequest(std::size_t Host, Duration RunsFor);

  /// Sends a request on a route that no configuration has.
  void sendUnknownRoute(std::size_t Host);
  /// How a host decided on a request, by its configuration.
  struct Decision {
    Time RequestedAt{};
    std::uint64_t Version = 0; ///< In force on the host that decided.
  };
  /// Returns the requests that were sent to engines or refused for good because
  /// of the configuration.
  std::span<const Decision> decisions() const { return this->Decisions; }

  /// Sends a request with a prompt that several engines prefill, so that it
  /// waits for its turn among others like it.
  void sendLong(std::size_t Host, Duration RunsFor);
  /// The same with a content that crashes each engine that begins to run it.
  /// The engine returns after some time under a new id.
  void sendCrashing(std::size_t Host);
  /// Sends a request with a short prompt that shares these parts with others.
  /// With \p Crashes, each engine that begins to answer it crashes; the rest of
  /// its content is its own.
  void sendPrompt(std::size_t Host, std::vector<Fingerprint> Parts,
                  bool Crashes);
  /// Ends the engine's process. It returns after some time under a new id.
  void crashEngine(std::size_t Engine) {
    this->crash(this->Engines[Engine].Id);
  }
  /// Returns when engines crashed.
  const std::vector<Time> &crashes() const { return this->Crashes; }
  /// Returns when requests with the crashing content reached engines.
  const std::vector<Time> &crashingArrivals() const {
    return this->CrashingArrivals;
  }

  /// Returns when callers sent requests.
  const std::vector<Time> &requestTimes() const { return this->RequestTimes; }
  /// Returns when requests reached an engine that had reached one before.
  const std::vector<Time> &repeatTimes() const { return this->RepeatTimes; }

  /// Returns the hosts that \p Host would name now in its answer to a resolve
  /// request.
  /// \p Zone is the zone of the caller that asks; empty: unknown.
  std::vector<std::size_t> resolvedHosts(std::size_t Host,
                                         const std::string &Zone = "");
  /// The connections from hosts to engines.
  SimulatedConnections &connections() { return this->Connections; }
  std::uint64_t versionAt(std::size_t Host) const;
  /// Returns how many peers the host regards as alive.
  std::size_t knownPeers(std::size_t Host) const;
  bool knowsLeaving(std::size_t Host, std::size_t Engine) const;

  /// Counts over all hosts since the last call of takeTally().
  struct Tally {
    std::map<std::string, std::uint64_t> Messages; ///< By kind.
    std::map<std::string, std::uint64_t> Bytes;    ///< Encoded, by kind.
    std::uint64_t BytesToOtherZones = 0;
    std::map<std::size_t, std::uint64_t> BytesByHost; ///< Sent and received.
    std::uint64_t StoreReads = 0; ///< Reads of configuration and registry.
    std::uint64_t ListReads = 0;
    std::uint64_t Announcements = 0; ///< Writes of host records.
    std::set<std::size_t> Readers;   ///< Hosts that read the store.
    std::uint64_t Ticks = 0;         ///< Wake-ups without an event.
    std::uint64_t Links = 0;         ///< Pairs of sender and receiver.
    /// The hosts that sent messages to each host.
    std::map<std::size_t, std::set<std::size_t>> Senders;
    std::map<UpstreamId, std::size_t> Sent; ///< Requests to each engine.
    std::size_t SentToOtherZones = 0;
    /// Longest time from sending a request until a report of it arrives.
    Duration MaxReportDelay{};
    std::map<std::size_t, std::size_t> Lost; ///< Requests without an answer, by
                                             ///< host.
    /// Requests whose connection was closed without a complete answer.
    std::size_t CutOff = 0;
    std::map<std::size_t, std::size_t> FirstTries;  ///< By host.
    std::map<std::size_t, std::size_t> FirstServed; ///< Of these, answered.
    /// First tries of harmless requests that share parts with others.
    std::size_t SharingTries = 0;
    std::size_t SharingServed = 0; ///< Of these, answered.
    std::size_t InTime = 0;        ///< Answers that began within the objective.
    std::size_t Late = 0;          ///< Answers that began after the objective.
    std::size_t RetryLaterAnswers = 0; ///< Callers that were asked to retry.
    std::vector<Answered> Answers;
    std::map<UpstreamId, std::size_t> ReportRequests; ///< To each engine.
    std::uint64_t messages() const;
  };
  Tally takeTally();

private:
  /// An event that waits for the host's processor.
  struct QueuedEvent {
    std::uint64_t Life = 0;
    Event Incoming;
    std::size_t Bytes = 0; ///< Size of the message with the event.
  };
  struct Host {
    Identity Self;
    std::unique_ptr<Kernel> Process; ///< Null: no process is running.
    std::uint64_t Life = 0;
    Resources Available;
    std::deque<QueuedEvent> Inbox;
    bool PumpScheduled = false;
    Time BusyUntil{};     ///< When its processor is free.
    Time SendsUntil{};    ///< When its link is free for sending.
    Time ReceivesUntil{}; ///< When its link is free for receiving.
    std::size_t BufferedBytes = 0;
    std::size_t PeakBufferedBytes = 0;
    Time WakeAt = Never;
    Time PausedUntil{};
    bool ReadsStore = false;
    std::uint32_t Turns = 1; ///< Hosts that read the store by turns.
    bool IsListed = false;   ///< The store holds its record.
    bool Listed = false;
    LogOffset Next = 0; ///< Offset of the next read of the registry.
    std::uint64_t SeenVersion = 0;
    LogOffset NextDeclaration = 0; ///< Offset of the next read; 0: not listed.
  };

  /// A caller of one host.
  struct Caller {
    Time FirstRequestAt{};
    bool HasRetried = false;
    bool IsAnswered = false;
    Duration RunsFor{};
    bool IsLong = false;
    bool CrashesEngines = false;
    std::vector<Fingerprint> PromptParts;
    bool IsUnknownRoute = false;
    /// The attempt of another host that forwarded the request here.
    struct Forwarder {
      std::size_t Host = 0;
      std::uint64_t Life = 0;
      AttemptId Attempt;
      RequestId Request; ///< Its id at that host.
    };
    std::optional<Forwarder> ForwardedBy;
    Time RequestedAt{}; ///< The latest request.

    bool isHarmlessFirstTry() const {
      return !this->HasRetried && !this->CrashesEngines && !this->ForwardedBy &&
             !this->PromptParts.empty();
    }
  };
  using CallerKey = std::pair<std::size_t, RequestId>;
  /// One attempt on an engine.
  struct RunningRequest {
    std::size_t Host = 0;
    std::uint64_t Life = 0;
    AttemptId Attempt;
    RequestId Request;
    Time SentAt{};
    std::uint64_t EngineRun = 0; ///< Increased when engines drop their work.
    std::size_t Arrived = 0;     ///< Its index among the engine's arrivals.
  };

  /// Returns the engine with this id, or the number of engines.
  std::size_t indexOf(const UpstreamId &Engine) const;
  void submit(std::size_t Host, const Caller &Origin);
  /// Records with which configuration the host decided on the request.
  void recordDecision(std::size_t Host, const RequestId &Id);
  RelayHead headOf(const RequestId &Id, const Caller &Origin) const;
  /// Crashes the engine that has begun to run the request.
  void crashLater(const UpstreamId &Engine, const RunningRequest &Running);
  void crash(const UpstreamId &Engine);
  void returnUnderNewId(std::size_t Engine);
  void breakAttempt(const RunningRequest &Running);
  /// Returns how an attempt ends that the engine's process does not receive, or
  /// nothing if it does.
  std::optional<RelayOutcome>
  outcomeWithoutEngine(const DispatchRelay &Dispatch) const;
  /// Returns how an attempt of a host that is cut off ends, and when.
  struct LostAttempt {
    RelayOutcome Outcome;
    Duration After{};
  };
  std::optional<LostAttempt> lostAttempt(std::size_t Index,
                                         const DispatchRelay &Dispatch) const;
  /// Answers a request for a report with a failure if the host is cut off.
  bool failReport(std::size_t Index, const UpstreamId &Engine);
  /// Counts the first event of an answer, and passes it on to the host that
  /// forwarded the request.
  void noteServed(std::size_t Host, const Caller &Origin);
  /// Delivers the request to another host.
  void forward(std::size_t Index, const DispatchRelay &Dispatch);
  /// Ends the attempt of the host that forwarded the request, if there is one.
  /// Returns whether there is.
  bool endForward(std::size_t Host, const RequestId &Id,
                  const RelayOutcome &Outcome);
  /// Tells the host to which the attempt was forwarded that its caller left.
  void cancelForward(const AttemptId &Attempt);
  /// Drops all work of all engines.
  void dropEngineWork();
  /// Returns when the engine's next prefill ends, if it begins now.
  Duration firstEventAfter(const UpstreamId &Engine);
  void reportLoad(std::size_t Host, const UpstreamId &Engine);
  /// Records the loads that engines report until the next call.
  void sampleLoads();
  void handleRefusal(std::size_t Host, const RefuseRelay &Refusal);
  void serve(const UpstreamId &Engine, const RunningRequest &Running);
  void refuseRun(const UpstreamId &Engine, const RunningRequest &Running,
                 Duration Backoff);
  /// Returns the signals that the engine's answers carry now.
  AnswerSignals signalsOf(const UpstreamId &Engine) const;
  /// Sends the header of the answer to the host.
  void answer(const UpstreamId &Engine, const RunningRequest &Running,
              const AnswerSignals &Signals);
  void finish(const UpstreamId &Engine, const RunningRequest &Running);
  bool runsOn(const UpstreamId &Engine, const RunningRequest &Request) const;
  void start(std::size_t Index);
  /// Ends the process of a host that has stopped.
  void exit(std::size_t Index, std::uint64_t Life);
  /// Returns the host at which a caller retries that \p Host refused.
  std::size_t hostForRetry(std::size_t Host);
  void send(std::size_t Index, std::uint64_t Life, const Event &Incoming,
            std::size_t Bytes = 0);
  /// Passes the event to the host's kernel and performs its actions.
  void handle(std::size_t Index, const Event &Incoming);
  /// Handles queued events as far as the host's processor allows.
  void processInbox(std::size_t Index);
  /// Returns the time to transfer the bytes over the links of both hosts.
  Duration transfer(std::size_t From, std::size_t To, std::size_t Bytes);
  void addBufferedBytes(std::size_t Index, std::size_t Bytes);
  /// Charges the processor time of sending a message.
  void chargeSending(std::size_t Index, std::size_t Bytes);
  Duration decodeTime(std::size_t Index, std::size_t Bytes) const;
  std::shared_ptr<const GatewayConfiguration>
  configurationAt(std::uint64_t NewVersion);
  void perform(std::size_t Index, const Action &Requested);
  void perform(std::size_t Index, const GatewayAction &Requested);
  /// Sends the request to its engine.
  void dispatch(std::size_t Index, const DispatchRelay &Dispatch);
  void deliver(std::size_t From, const SendToPeer &Sent);
  void countBytes(std::size_t From, std::size_t To, const PeerMessageBody &Body,
                  std::size_t Bytes);
  void scheduleWake(std::size_t Index);
  void readStore(std::size_t Index, std::uint64_t Life);
  void readEvacuations(std::size_t Index);
  void storeQuarantine(const StoreQuarantine &Wanted);
  /// Sends the host that has started the stored quarantines.
  void readQuarantines(std::size_t Index);
  /// Renews the registration of the engine periodically.
  void renewRegistration(std::size_t Engine);
  void registerEngine(std::size_t Engine);
  Time coldUntil(std::size_t Engine) const;
  bool isCold(const UpstreamId &Engine) const;

  EventQueue Queue;
  std::vector<SettingChange> SettingChanges;
  SimulatedConnections Connections;
  /// When each host first sent a request that it has not reported yet.
  std::map<std::size_t, Time> UnreportedSince;
  std::vector<Host> Hosts;
  std::map<HostId, std::size_t> IndexById;
  std::vector<EngineRecord> Engines;
  std::vector<EngineChange> Registry; ///< The newest record of each engine.
  LogOffset RegistryEnd = 1;
  std::uint64_t Version = 0;
  /// The newest evacuation record of each zone.
  std::map<std::size_t, EvacuationRecord> Evacuations;
  LogOffset DeclarationsEnd = 1;
  std::size_t DocumentSize = 0;
  std::map<std::uint64_t, std::shared_ptr<const GatewayConfiguration>>
      Configurations;
  std::uint64_t IncarnationCount = 0;
  std::uint64_t Requests = 0;
  std::map<CallerKey, Caller> Callers;
  std::map<UpstreamId, std::size_t> BusySlots;
  /// Requests that wait for a slot.
  std::map<UpstreamId, std::deque<RunningRequest>> Queued;
  std::map<std::string, std::string> EngineLoadValues;
  std::uint64_t EngineRun = 0;
  Duration PrefillTime{};
  std::map<UpstreamId, Time> PrefillsUntil;
  std::map<UpstreamId, EngineReport> LoadReports;
  std::vector<Caller> Stranded; ///< Callers that wait for a running host.
  std::vector<std::size_t> NamedHosts;
  bool AllKilled = false;
  Random Draws{1};
  std::set<UpstreamId> Failing;
  std::set<std::size_t> FailedLinks;
  std::map<std::size_t, LinkLoss> CutOff; ///< Hosts without links to engines.
  /// Forwarded attempts and the requests that they became.
  std::map<AttemptId, CallerKey> Forwards;
  std::set<std::size_t> RefusedReaders;
  std::set<std::size_t> Stopping; ///< Hosts that were asked to stop.
  std::set<std::size_t> Partitioned;
  std::map<UpstreamId, double> Limits;
  double DeclaredColdRate = 0;
  std::map<std::size_t, Time> ColdUntil;
  std::set<std::size_t> Unregistered;
  std::map<UpstreamId, Duration> Shedding; ///< With the requested backoff.
  std::set<UpstreamId> SignalsLeaving;
  std::map<UpstreamId, std::vector<Arrival>> Arrived;
  /// The requests that each engine runs.
  std::map<UpstreamId, std::vector<RunningRequest>> RunningByEngine;
  std::map<Fingerprint, StoredQuarantine> StoredQuarantines;
  std::set<std::size_t> Down; ///< Engines without a process.
  std::set<AttemptId> Cancelled;
  std::vector<Time> Crashes;
  std::vector<Time> CrashingArrivals;
  std::vector<Decision> Decisions;
  std::vector<Time> RequestTimes;
  std::vector<Time> RepeatTimes;
  std::set<RequestId> Reached; ///< Requests that reached an engine.
  std::vector<Address> Answer;
  Tally Current;
  bool CountsBytes = false;
  std::set<std::pair<std::size_t, std::size_t>> Pairs;
};

} // namespace banyanpick
