/// \file
/// The interfaces between plug-ins. A plug-in provides an interface under its
/// type in initialize(). Plug-ins that declare a dependency on it retrieve the
/// interface in their own initialize().
#pragma once

#include "base/Error.h"
#include "gateway/Evacuation.h"
#include "kernel/Action.h"
#include "kernel/Request.h"

#include <span>
#include <typeindex>
#include <unordered_map>

namespace banyanpick {

/// The catalogue in force.
class CatalogueView {
public:
  virtual ~CatalogueView() = default;
  virtual const Catalogue &catalogue() const = 0;
  /// Whether a catalogue is loaded. The host must not serve requests before.
  virtual bool isReady() const = 0;
  /// Whether this host knows that its catalogue is current.
  virtual bool isCurrent(Time Now) const = 0;
  /// When this host last had all records of the log, confirmed by the log
  /// itself or by a peer that had read it. Heartbeats send this time to peers.
  /// It is never later than an actual read of the log, so hosts that are all
  /// partitioned from the log cannot confirm each other.
  virtual Time confirmedAt() const { return Time{}; }
};

/// The membership state of an entry host.
struct Member {
  HostListing Listing;
  Incarnation Life;
  MemberState State = MemberState::Alive;
  bool Ready = false;
  LogOffset InForce = 0;
  Time LastHeard{};
  Time LogConfirmedAt{};           ///< From its heartbeat.
  LogOffset EnginesKnownTo = 0;    ///< From its heartbeat.
  std::uint64_t EnginesDigest = 0; ///< From its heartbeat.
  bool CutOff = false; ///< Partitioned from the engines of a service.
};

/// The state of the configuration in force, as sent in heartbeats.
class InForceView {
public:
  virtual ~InForceView() = default;
  /// Whether this host may accept requests.
  virtual bool isReady() const = 0;
  /// The version in force; 0 when there is none.
  virtual std::uint64_t version() const = 0;
  /// Returns the newest versions that are known to be in force on any host, at
  /// most MaxRecentVersions.
  virtual std::vector<VersionInForce> recentVersions(Time Now) const = 0;
};

/// Whether this host has a path to the engines.
class EngineReachView {
public:
  virtual ~EngineReachView() = default;
  /// Whether this host seems to be partitioned from all engines of the service.
  virtual bool isCutOff(const ServiceId &Service, Time Now) const = 0;
  /// The same for any service.
  virtual bool isCutOff(Time Now) const = 0;
  /// Called when the engine is known to have died. Its failures are no evidence
  /// of a partition then.
  virtual void engineDied(const UpstreamId &Engine) = 0;
};

/// The engines of one service from which a host selects.
struct EngineShare {
  /// For each partition of the engines, whether the host uses it. Empty if the
  /// engines are not partitioned.
  std::vector<bool> Parts;

  /// Whether the host uses the engine. \p NameHash is the hash of the engine's
  /// name, see RegisteredEngine.
  bool takes(std::uint64_t NameHash) const {
    return this->Parts.empty() || this->Parts[NameHash % this->Parts.size()];
  }
};

/// The hosts that serve callers, and the engines from which they select.
class ActiveHostsView {
public:
  virtual ~ActiveHostsView() = default;
  /// Whether callers are directed to this host.
  virtual bool isActive() const = 0;
  /// The active hosts ordered by name, including this host if it is active.
  virtual std::span<const HostId> activeHosts() const = 0;
  /// The active hosts that select from the same engines as this host, ordered
  /// by name, including this host if it is active.
  virtual std::span<const HostId> sharers() const = 0;
  /// The other hosts with which this host coordinates continuously, ordered by
  /// name: the other sharers if this host is active, otherwise none.
  virtual std::span<const HostId> partners() const = 0;
  virtual EngineShare shareOf(const ServiceId &Service) const = 0;
};

/// How far this host has read the service registry.
class RegistryProgress {
public:
  virtual ~RegistryProgress() = default;
  /// All changes before this offset are known.
  virtual LogOffset knownTo() const = 0;
  /// Digest of the registrations. Hosts with equal digests have the same
  /// registrations.
  virtual std::uint64_t digest() const = 0;
  /// Increases when an engine that was in use may not get requests any more.
  virtual std::uint64_t lossCount() const = 0;
};

/// The maximum age of this host's view of the store.
class StoreFreshness {
public:
  virtual ~StoreFreshness() = default;
  /// When the store was last read successfully by a host whose view this host
  /// has received. The epoch if no host has read it.
  virtual Time storeConfirmedAt() const = 0;
  /// Whether this host is one of the few that keep a record in the store's host
  /// list, so that hosts whose seeds are down find some others.
  virtual bool isListed() const = 0;
};

/// The zones that the operators evacuate.
class EvacuationView {
public:
  virtual ~EvacuationView() = default;
  /// Whether nothing new may be sent to the engines of the zone.
  virtual bool isEvacuated(const ZoneId &Zone) const = 0;
  /// Returns the records to send to peers, including those that ended an
  /// evacuation.
  virtual std::vector<EvacuationRecord> records() const = 0;
  /// Increases with each change of the records.
  virtual std::uint64_t changeCount() const = 0;
};

/// The entry hosts and their states.
class MembershipView {
public:
  virtual ~MembershipView() = default;
  virtual const HostId &self() const = 0;
  virtual Incarnation selfLife() const = 0;
  virtual const ZoneId &selfZone() const = 0;
  /// The other hosts ordered by name, including dead hosts that are not
  /// forgotten yet.
  virtual std::span<const Member> peers() const = 0;
  /// The other hosts that are alive and not leaving, ordered by name.
  virtual std::vector<HostId> livePeers() const = 0;
  /// Whether an incarnation of a host is considered dead: a later incarnation
  /// of the host answered, or the suspicion of it timed out. After a timeout
  /// the process may only be paused or partitioned and may return as the same
  /// incarnation, so callers must not take actions that are unsafe in that
  /// case.
  virtual bool isDead(const HostId &Host, Incarnation Life) const = 0;
  /// Whether the incarnation is known to have begun a planned stop, finished or
  /// not. Its streams may have been handed over.
  virtual bool hasLeft(const HostId &, Incarnation) const { return false; }
  /// Whether this incarnation has read the host list. Before that, peers() is
  /// incomplete.
  virtual bool knowsHosts() const { return true; }
  /// Whether this host has no seeds but itself, or is one of them: hosts that
  /// start then contact it first, and it can't learn from earlier ones.
  virtual bool isSeed() const { return true; }
};

/// Notified when the membership state of a host changes.
class MembershipObserver {
public:
  virtual ~MembershipObserver() = default;
  virtual void memberChanged(const Member &Changed, Time Now, Actions &Out) = 0;
};

enum class UpstreamState { Unknown, Live, Leaving, Dead };

/// An upstream with its state and load.
struct Upstream {
  UpstreamListing Listing;
  UpstreamState State = UpstreamState::Unknown;
  LoadReport Report; ///< The last report; its Id is empty if there is none.
  Time ReportAt{};   ///< When the last report was received.
  /// Work sent by this host that the last report may not include yet.
  std::uint64_t UnreportedPrefillTokens = 0;
  std::uint32_t OutstandingHere = 0; ///< Attempts of this host running there.
  std::uint64_t OutstandingTokensHere = 0; ///< Prompt tokens and output limits.
  std::uint64_t PeerPrefillTokens = 0;     ///< Recently sent by peers.
  std::uint32_t PeerRequests = 0;          ///< Attempts of peers running there.
};

/// The upstreams with their states and loads.
class FleetView {
public:
  virtual ~FleetView() = default;
  /// All known upstreams, ordered by name.
  virtual std::span<const Upstream> upstreams() const = 0;
  /// Positions in upstreams() of the engines that have the model loaded.
  virtual std::span<const std::uint32_t>
  enginesWith(const ModelId &Model) const = 0;
  /// Positions in upstreams() of the service's application engines.
  virtual std::span<const std::uint32_t>
  applications(const std::string &Service) const = 0;
  /// Returns the upstream with this name, or null.
  virtual const Upstream *find(const UpstreamId &Id) const = 0;
};

/// Notified when the state or the incarnation of an upstream changes.
class FleetObserver {
public:
  virtual ~FleetObserver() = default;
  virtual void upstreamChanged(const Upstream &Changed, Time Now,
                               Actions &Out) = 0;
};

/// Decides whether a request is admitted.
class AdmissionGate {
public:
  virtual ~AdmissionGate() = default;
  /// Returns the refusal, or nothing if the request may be admitted.
  virtual std::optional<NotRun> check(const Request &Incoming, Time Now) = 0;
  /// Called repeatedly while an admitted request waits and has not started. A
  /// refusal ends the request immediately.
  virtual std::optional<NotRun> reconsider(const Request &, Time) {
    return std::nullopt;
  }
};

/// Notified of each state change of an admitted request.
class RequestObserver {
public:
  virtual ~RequestObserver() = default;
  virtual void admitted(const Request &, Time, Actions &) {}
  virtual void dispatched(const Request &, const Attempt &, Time, Actions &) {}
  /// The first chunk arrived.
  virtual void firstToken(const Request &, const Attempt &, Time, Actions &) {}
  virtual void attemptEnded(const Request &, const Attempt &,
                            const AttemptOutcome &, Time, Actions &) {}
  /// The final answer was sent.
  virtual void ended(const Request &, const FinalAnswer &, Time, Actions &) {}
};

/// Selects the upstream for an attempt.
class UpstreamSelector {
public:
  virtual ~UpstreamSelector() = default;
  /// Also logs the decision with the scores of the candidates to \p Out.
  virtual Selection select(const Request &Req, const SelectionLimits &Limits,
                           Time Now, Actions &Out) = 0;
};

/// Queues waiting requests and shares dispatches fairly among teams.
class DispatchQueue {
public:
  virtual ~DispatchQueue() = default;
  virtual void push(const Request &Req, Time Now) = 0;
  /// Removes the request from any position. Does nothing if it is not queued.
  virtual void remove(const RequestId &Id) = 0;
  /// Returns at most \p Max waiting requests in dispatch order, the one with
  /// the highest entitlement first.
  virtual std::vector<RequestId> candidates(std::size_t Max, Time Now) = 0;
  virtual std::size_t size() const = 0;
};

/// Identifies requests whose content is suspected of crashing upstreams.
class QuarantineView {
public:
  virtual ~QuarantineView() = default;
  /// Whether the next attempt must be isolated.
  virtual bool isSuspect(const Request &Req, Time Now) const = 0;
  /// Whether two upstreams crashed while running this content.
  virtual bool isQuarantined(Fingerprint Content, Time Now) const = 0;
  /// The delay before the next attempt; suspects run one after another.
  virtual Duration spacing(const Request &, Time) const { return Duration(0); }
};

/// Decides whether a failed attempt may be retried.
class RetryPolicy {
public:
  virtual ~RetryPolicy() = default;
  /// Consumes one retry from the budget if it returns true.
  virtual bool mayRetry(const Request &Failed, std::uint32_t AttemptsMade,
                        Time Now) = 0;
};

/// Appends records to the platform's log, several in one append (group commit).
class LogWriter {
public:
  virtual ~LogWriter() = default;
  /// Returns the id that LogObserver::appendSettled() reports for the record.
  virtual RecordId append(LogRecordBody Body, Time Now, Actions &Out) = 0;
  /// Stops appending the record. Returns true if the record has not reached the
  /// log and never will; appendSettled() is not called in that case.
  virtual bool withdraw(const RecordId &) { return false; }
  /// The number of own records whose append is neither confirmed nor refused.
  /// A planned stop waits for them; otherwise outcomes of claimed operations
  /// are lost with the process.
  virtual std::size_t unsettled() const { return 0; }
  /// Whether the log answered recently.
  virtual bool isReachable(Time Now) const = 0;
};

/// Notified once of each record of the log, in log order, and of own appends.
class LogObserver {
public:
  virtual ~LogObserver() = default;
  virtual void recordRead(const StoredRecord &, Time, Actions &) {}
  /// If \p Appended is false, the record is not in the log and never will be.
  /// Not called while the result is unknown.
  virtual void appendSettled(const RecordId &, bool /*Appended*/, Time,
                             Actions &) {}
  /// All records of the log were read at this time.
  virtual void caughtUp(LogOffset /*EndOffset*/, Time, Actions &) {}
  /// Records before \p StartOffset were removed from the log before this host
  /// read them.
  virtual void recordsMissed(LogOffset /*StartOffset*/, Time, Actions &) {}
};

/// The request owns the claim and may be dispatched once.
struct ClaimGranted {};
/// The request ends with this answer and must not be dispatched.
struct ClaimDenied {
  FinalAnswer Answer;
};
using ClaimVerdict = std::variant<ClaimGranted, ClaimDenied>;

/// Ensures that a non-idempotent operation runs at most once.
class ClaimKeeper {
public:
  virtual ~ClaimKeeper() = default;
  /// Answered by ClaimObserver::claimDecided(), possibly before the return.
  virtual void claim(const Request &Admitted, Time Now, Actions &Out) = 0;
  /// Called when the request ended without a dispatch. The key may be claimed
  /// again. A claim whose operation was dispatched is not released.
  virtual void abandon(const Request &Ended, Time Now, Actions &Out) = 0;
  /// Called when the dispatched operation ended.
  virtual void finish(const Request &Ended, OutcomeRecord::Kind Outcome,
                      std::string_view Result, Time Now, Actions &Out) = 0;
};

class ClaimObserver {
public:
  virtual ~ClaimObserver() = default;
  virtual void claimDecided(const RequestId &Id, const ClaimVerdict &Verdict,
                            Time Now, Actions &Out) = 0;
};

/// Acquires memory on several engines for one attempt, all or nothing.
class GroupHolder {
public:
  virtual ~GroupHolder() = default;
  /// Answered by GroupObserver::groupDecided(), possibly before the return.
  virtual void acquire(const Request &Req, const Selected &Choice, Time Now,
                       Actions &Out) = 0;
  /// Releases all holds of the request; idempotent.
  virtual void release(const RequestId &Id, Time Now, Actions &Out) = 0;
  /// Whether this host still uses the hold. Unused holds are freed after a
  /// grace period.
  virtual bool isHeld(const HoldId &) const { return true; }
};

class GroupObserver {
public:
  virtual ~GroupObserver() = default;
  /// \p Holds is empty if the memory could not be acquired.
  virtual void groupDecided(const RequestId &Id, std::span<const HoldId> Holds,
                            Time Now, Actions &Out) = 0;
};

/// Cancels attempts on upstreams. Repeats a cancellation until the upstream
/// confirms it or the attempt's deadline is long past.
class AttemptCanceller {
public:
  virtual ~AttemptCanceller() = default;
  virtual void cancel(const AttemptId &Id, const UpstreamId &Where,
                      Time Deadline, Time Now, Actions &Out) = 0;
};

/// The progress of this host's planned stop.
class DrainView {
public:
  virtual ~DrainView() = default;
  /// Whether a stop was requested. Resolve then no longer returns this host.
  virtual bool isLeaving() const = 0;
};

/// The requests running on this host, for plug-ins that wait for them or hand
/// them over.
class RequestTable {
public:
  virtual ~RequestTable() = default;
  virtual std::size_t running() const = 0;
  /// The running requests, ordered by id.
  virtual std::vector<RequestId> ids() const = 0;
  virtual const Request *find(const RequestId &Id) const = 0;
  /// Returns the running attempt of the request, or null.
  virtual const Attempt *attemptOf(const RequestId &Id) const = 0;
  /// Returns the request of a running attempt of this host, or null.
  virtual const Request *owner(const AttemptId &Id) const = 0;
  /// Returns the resume token of a streamed request, or an empty string.
  virtual std::string resumeToken(const RequestId &Id) const = 0;
  /// Returns the first chunk that is not known to be delivered.
  virtual std::uint64_t nextIndex(const RequestId &Id) const = 0;
  /// Ends the request on this host without an answer or a cancellation, because
  /// a peer continues it.
  virtual void handOver(const RequestId &Id, const Address &To, Time Now,
                        Actions &Out) = 0;
  /// Continues a stream that a peer handed over, from its running attempt.
  virtual void adopt(const StreamHandover &Stream, Time Now, Actions &Out) = 0;
};

/// Contributes its part to the status report for operators.
class StatusContributor {
public:
  virtual ~StatusContributor() = default;
  virtual void contribute(StatusReport &Report, Time Now) const = 0;
};

/// Holds all providers of one interface.
template <class Interface> class ServiceList {
public:
  void add(Interface &Item) { this->Items.push_back(&Item); }
  std::span<Interface *const> all() const { return this->Items; }

private:
  std::vector<Interface *> Items;
};

/// The registry of interfaces that the plug-ins of one kernel provide, by type.
class Services {
public:
  template <class Interface> void provide(Interface &Provider) {
    this->Single[std::type_index(typeid(Interface))] = &Provider;
  }

  /// Throws Error(Internal) if no plug-in provides the interface.
  template <class Interface> Interface &get() const {
    const auto Found = this->Single.find(std::type_index(typeid(Interface)));
    if (Found == this->Single.end())
      throw Error(ErrorKind::Internal,
                  std::string("no plug-in provides ") +
                      typeid(Interface).name(),
                  "declare the dependency of the plug-in that asks for it");
    return *static_cast<Interface *>(Found->second);
  }

  /// Returns the provider, or null if there is none.
  template <class Interface> Interface *find() const {
    const auto Found = this->Single.find(std::type_index(typeid(Interface)));
    if (Found == this->Single.end())
      return nullptr;
    return static_cast<Interface *>(Found->second);
  }

  /// Returns the list of providers of the interface. Creates an empty list if
  /// there is none.
  template <class Interface> ServiceList<Interface> &list() {
    auto &Slot = this->Lists[std::type_index(typeid(Interface))];
    if (!Slot)
      Slot = std::make_shared<ServiceList<Interface>>();
    return *static_cast<ServiceList<Interface> *>(Slot.get());
  }

private:
  std::unordered_map<std::type_index, void *> Single;
  std::unordered_map<std::type_index, std::shared_ptr<void>> Lists;
};

} // namespace banyanpick
