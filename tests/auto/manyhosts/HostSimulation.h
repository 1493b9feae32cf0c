/// \file
/// Hundreds of gateways' kernels in virtual time, which hear each other and
/// read one store; for what they say to each other and what they come to know.
#pragma once

#include "harness/EventQueue.h"
#include "kernel/Kernel.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace banyanpick {

class HostSimulation {
public:
  static constexpr std::size_t Zones = 5;
  static constexpr std::uint64_t ShortPrompt = 5000; ///< Tokens.
  static constexpr seconds CallerTimeLimit{10};

  /// Starts so many hosts at once, in zones in turn; three of them are seeds.
  HostSimulation(std::size_t Hosts, std::size_t Engines);
  ~HostSimulation();

  /// What a host has; without, it has as much as it needs.
  struct Resources {
    double Cores = 0;
    double BytesPerSecond = 0; ///< Of its link, each way.
  };
  void setResources(std::size_t Host, const Resources &NewResources) {
    this->Hosts[Host].Available = NewResources;
  }
  /// The most bytes of messages that the host has held at once so far, to be
  /// sent and to be taken in. Counted for hosts with means.
  std::size_t peakBufferedBytes(std::size_t Host) const {
    return this->Hosts[Host].PeakBufferedBytes;
  }
  /// Pairs of living hosts that reach each other of which one takes the other
  /// for anything but alive.
  std::size_t falseSuspicions() const;

  void run(Duration For);
  void kill(std::size_t Host);
  /// Starts it anew, knowing nothing.
  void restart(std::size_t Host);
  std::size_t size() const { return this->Hosts.size(); }
  std::size_t engines() const { return this->Engines.size(); }
  bool isRunning(std::size_t Host) const {
    return this->Hosts[Host].Process != nullptr;
  }

  /// The operator's configuration, or a newer one; read by those that follow.
  void publish(std::uint64_t Version);
  /// Configurations from now on are documents of so many bytes.
  void setDocumentSize(std::size_t Bytes) { this->DocumentSize = Bytes; }
  /// The engine says that it leaves.
  void drain(std::size_t Engine);
  /// The store refuses the host.
  void refuseStoreReads(std::size_t Host) { this->RefusedReaders.insert(Host); }
  /// Whether the host reads the store itself.
  bool isStoreReader(std::size_t Host) const {
    return this->Hosts[Host].ReadsStore;
  }
  /// The engine closes every connection at once, whatever it is sent.
  void setFailing(std::size_t Engine, bool On);
  /// Every connection that the host makes is closed at once.
  void setLinkFailed(std::size_t Host, bool On);
  /// The engine's answers name how many requests a second it takes, or none any
  /// more.
  void setLimit(std::size_t Engine, std::optional<double> PerSecond);
  /// The engine turns away what it gets and asks each time for so much rest;
  /// nothing: it serves again.
  void setShedding(std::size_t Engine, std::optional<Duration> Backoff);
  /// The engine's answers say that it leaves; its registration does not.
  void setSignalsLeaving(std::size_t Engine) {
    this->SignalsLeaving.insert(this->Engines[Engine].Id);
  }
  /// The host stands still for so long; what comes meanwhile waits.
  void pause(std::size_t Host, Duration For);
  /// No message passes between the host and its peers.
  void setPartitioned(std::size_t Host, bool On);
  /// When requests reached the engine, and from which host.
  struct Arrival {
    Time At{};
    std::size_t From = 0;
    Duration BackoffRequested{};   ///< By the refusal that it got; zero: none.
    Time AnsweredAt = Never;       ///< Never: its caller left before.
    bool SignalledLeaving = false; ///< By the answer.
  };
  const std::vector<Arrival> &arrivals(std::size_t Engine) const;
  Time now() const { return this->Queue.now(); }

  /// A request to the host for a short prompt; it runs for \p RunsFor. Its
  /// caller comes back once when it is told to, and leaves when no answer has
  /// begun after two seconds.
  void sendRequest(std::size_t Host, Duration RunsFor);

  /// The hosts that one names to a caller now.
  std::vector<std::size_t> resolvedHosts(std::size_t By);
  std::uint64_t versionAt(std::size_t Host) const;
  bool knowsLeaving(std::size_t Host, std::size_t Engine) const;

  /// What all hosts did since the last call.
  struct Tally {
    std::map<std::string, std::uint64_t> Messages; ///< By kind.
    std::uint64_t StoreReads = 0; ///< Of configuration and registry.
    std::uint64_t ListReads = 0;
    std::uint64_t Ticks = 0;                 ///< Wakes without an event.
    std::uint64_t Links = 0;                 ///< Pairs of sender and receiver.
    std::map<UpstreamId, std::size_t> Sent;  ///< Requests to each engine.
    std::map<std::size_t, std::size_t> Lost; ///< Requests without an answer, by
                                             ///< host.
    std::size_t InTime = 0; ///< Answers that began in time for their caller,
    std::size_t Late = 0;   ///< and those that did not.
    std::size_t RetryLaterAnswers = 0; ///< Callers who were told to come back.
    std::uint64_t messages() const;
  };
  Tally takeTally();

private:
  /// An event that waits for the host's processor.
  struct QueuedEvent {
    std::uint64_t Life = 0;
    Event Incoming;
    std::size_t Bytes = 0; ///< Of the message that brought it.
  };
  struct Host {
    Identity Self;
    std::unique_ptr<Kernel> Process; ///< Null: the process is not there.
    std::uint64_t Life = 0;
    Resources Available;
    std::deque<QueuedEvent> Inbox;
    bool PumpScheduled = false;
    Time BusyUntil{};     ///< Its processor,
    Time SendsUntil{};    ///< and its link,
    Time ReceivesUntil{}; ///< each way.
    std::size_t BufferedBytes = 0;
    std::size_t PeakBufferedBytes = 0;
    Time WakeAt = Never;
    Time PausedUntil{};
    bool ReadsStore = true;
    bool Listed = false;
    LogOffset Next = 0; ///< Of the registry, to read from.
    std::uint64_t SeenVersion = 0;
  };

  /// Somebody who asks one host.
  struct Caller {
    Time FirstRequestAt{};
    bool HasRetried = false;
    bool IsAnswered = false;
    Duration RunsFor{};
  };
  using CallerKey = std::pair<std::size_t, RequestId>;
  /// One try on an engine.
  struct RunningRequest {
    std::size_t Host = 0;
    std::uint64_t Life = 0;
    AttemptId Attempt;
    RequestId Request;
    Time SentAt{};
    std::size_t Arrived = 0; ///< Its place among the engine's arrivals.
  };

  void submit(std::size_t Host, const Caller &By);
  void handleRefusal(std::size_t Host, const RefuseRelay &Is);
  void serve(const UpstreamId &Engine, const RunningRequest &Each);
  void refuseRun(const UpstreamId &Engine, const RunningRequest &Each,
                 Duration Backoff);
  /// What the engine's answers say of it now.
  AnswerSignals signalsOf(const UpstreamId &Engine) const;
  /// The answer's header comes to the host.
  void answer(const UpstreamId &Engine, const RunningRequest &Each,
              const AnswerSignals &Signals);
  void finish(const UpstreamId &Engine, const RunningRequest &Each);
  void start(std::size_t Index);
  void send(std::size_t Index, std::uint64_t Life, const Event &Incoming,
            std::size_t Bytes = 0);
  /// The host decides, and does what it decided.
  void handle(std::size_t Index, const Event &Incoming);
  /// Takes in what waits, as its processor allows.
  void processInbox(std::size_t Index);
  /// How long the bytes are on their way over both hosts' links.
  Duration transfer(std::size_t From, std::size_t To, std::size_t Bytes);
  void addBufferedBytes(std::size_t Index, std::size_t Bytes);
  /// Sending takes the processor, too.
  void chargeSending(std::size_t Index, std::size_t Bytes);
  Duration decodeTime(std::size_t Index, std::size_t Bytes) const;
  std::shared_ptr<const GatewayConfiguration>
  configurationAt(std::uint64_t NewVersion);
  void perform(std::size_t Index, const Action &Requested);
  void perform(std::size_t Index, const GatewayAction &Requested);
  void deliver(std::size_t From, const SendToPeer &Sent);
  void scheduleWake(std::size_t Index);
  void readStore(std::size_t Index, std::uint64_t Life);
  /// Every engine renews its registration in turn.
  void renewRegistration(std::size_t Engine);
  void registerEngine(std::size_t Engine);

  EventQueue Queue;
  std::vector<Host> Hosts;
  std::map<HostId, std::size_t> IndexById;
  std::vector<EngineRecord> Engines;
  std::vector<EngineChange> Registry; ///< Its newest records, by engine.
  LogOffset RegistryEnd = 1;
  std::uint64_t Version = 0;
  std::size_t DocumentSize = 0;
  std::map<std::uint64_t, std::shared_ptr<const GatewayConfiguration>>
      Configurations;
  std::uint64_t IncarnationCount = 0;
  std::uint64_t Requests = 0;
  std::map<CallerKey, Caller> Callers;
  std::map<UpstreamId, std::size_t> BusySlots; ///< Places taken,
  std::map<UpstreamId, std::deque<RunningRequest>>
      Queued; ///< and who waits for one.
  std::set<UpstreamId> Failing;
  std::set<std::size_t> FailedLinks;
  std::set<std::size_t> RefusedReaders;
  std::set<std::size_t> Partitioned;
  std::map<UpstreamId, double> Limits;
  std::map<UpstreamId, Duration> Shedding; ///< With the rest asked for.
  std::set<UpstreamId> SignalsLeaving;
  std::map<UpstreamId, std::vector<Arrival>> Arrived;
  std::vector<Address> Answer;
  Tally Current;
  std::set<std::pair<std::size_t, std::size_t>> Pairs;
};

} // namespace banyanpick
