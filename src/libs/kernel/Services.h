/// \file
/// What plug-ins offer each other. A plug-in provides an interface under its
/// type in initialize(); those that declare a dependency on it get it there.
#pragma once

#include "base/Error.h"
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
  /// Whether a catalogue is known at all; false: never serve.
  virtual bool isReady() const = 0;
  /// Whether this host can know that its catalogue is current.
  virtual bool isCurrent(Time Now) const = 0;
  /// When this host last knew that it had everything the log held, from the
  /// log itself or from a peer that had read it; what heartbeats tell peers.
  /// Never later than a real reading of the log, so hosts that are all cut
  /// off can't confirm each other.
  virtual Time confirmedAt() const { return Time{}; }
};

/// One entry host as membership sees it.
struct Member {
  HostListing Listing;
  Incarnation Life;
  MemberState State = MemberState::Alive;
  bool Ready = false;
  LogOffset InForce = 0;
  Time LastHeard{};
  Time LogConfirmedAt{};           ///< From its heartbeat.
  LogOffset EnginesKnownTo = 0;    ///< From its heartbeat,
  std::uint64_t EnginesDigest = 0; ///< likewise.
};

/// The declarations that a gateway serves by, as its heartbeats tell them.
class InForceView {
public:
  virtual ~InForceView() = default;
  /// Whether this host may take requests.
  virtual bool isReady() const = 0;
  /// The version in force; 0 when there is none.
  virtual std::uint64_t version() const = 0;
};

/// The engines of one service that a host chooses among.
struct EngineShare {
  /// For each part of the engines whether the host uses it; empty: the engines
  /// are not divided.
  std::vector<bool> Parts;

  /// \p Spread: a hash of the engine's name, see RegisteredEngine.
  bool takes(std::uint64_t NameHash) const {
    return this->Parts.empty() || this->Parts[NameHash % this->Parts.size()];
  }
};

/// Which hosts take the callers, and which engines they choose among.
class ActiveHostsView {
public:
  virtual ~ActiveHostsView() = default;
  /// Whether callers are sent to this host.
  virtual bool isActive() const = 0;
  /// The active hosts, this one included where it is one; by name.
  virtual std::span<const HostId> activeHosts() const = 0;
  /// The active hosts that choose among the same engines as this one, itself
  /// included where it is active; by name.
  virtual std::span<const HostId> sharers() const = 0;
  /// The others with which this host has to agree all the time: the other
  /// sharers if it is active, nobody otherwise. By name.
  virtual std::span<const HostId> partners() const = 0;
  virtual EngineShare shareOf(const ServiceId &Service) const = 0;
};

/// How far this host follows the service registry.
class RegistryProgress {
public:
  virtual ~RegistryProgress() = default;
  /// All changes before this offset are known.
  virtual LogOffset knownTo() const = 0;
  /// Of what is registered; hosts with equal digests know the same.
  virtual std::uint64_t digest() const = 0;
};

/// How old what this host knows of the store may be.
class StoreFreshness {
public:
  virtual ~StoreFreshness() = default;
  /// When some host whose knowledge has come here last read the store with
  /// success; the start of time when none has.
  virtual Time storeConfirmedAt() const = 0;
};

/// Who the entry hosts are.
class MembershipView {
public:
  virtual ~MembershipView() = default;
  virtual const HostId &self() const = 0;
  virtual Incarnation selfLife() const = 0;
  virtual const ZoneId &selfZone() const = 0;
  /// The others, dead ones included while remembered, ordered by name.
  virtual std::span<const Member> peers() const = 0;
  /// Others that are alive and not leaving, ordered by name.
  virtual std::vector<HostId> livePeers() const = 0;
  /// Whether a life of a host is taken for over: a later life of the host
  /// answered, or a suspicion of it ran out. In the second case it may only be
  /// frozen or cut off, and may come back as the same life; conclude nothing
  /// from it that would do harm then.
  virtual bool isDead(const HostId &Host, Incarnation Life) const = 0;
  /// Whether the life is known to have begun a planned stop, over or not. Its
  /// streams may have been handed over.
  virtual bool hasLeft(const HostId &, Incarnation) const { return false; }
  /// Whether the host list was read in this life. Before that peers() says
  /// nothing of who the others are.
  virtual bool knowsHosts() const { return true; }
};

/// Told when what membership knows of a host has changed.
class MembershipObserver {
public:
  virtual ~MembershipObserver() = default;
  virtual void memberChanged(const Member &Changed, Time Now, Actions &Out) = 0;
};

enum class UpstreamState { Unknown, Live, Leaving, Dead };

/// One upstream with everything known of it.
struct Upstream {
  UpstreamListing Listing;
  UpstreamState State = UpstreamState::Unknown;
  LoadReport Report; ///< The last; empty Id when none came.
  Time ReportAt{};   ///< When the last report was taken in.
  /// Work this host sent that the last report may not show yet.
  std::uint64_t UnreportedPrefillTokens = 0;
  std::uint32_t OutstandingHere = 0; ///< Attempts of this host running there.
  std::uint64_t OutstandingTokensHere = 0; ///< Prompt and output bounds.
  std::uint64_t PeerPrefillTokens = 0;     ///< What peers say they sent lately.
  std::uint32_t PeerRequests = 0;          ///< Attempts of peers running there.
};

/// Who the upstreams are and how they are doing.
class FleetView {
public:
  virtual ~FleetView() = default;
  /// All known, ordered by name.
  virtual std::span<const Upstream> upstreams() const = 0;
  /// Positions in upstreams() of engines that have the model loaded.
  virtual std::span<const std::uint32_t>
  enginesWith(const ModelId &Model) const = 0;
  /// Positions in upstreams() of the service's application engines.
  virtual std::span<const std::uint32_t>
  applications(const std::string &Service) const = 0;
  /// The upstream of that name, or null.
  virtual const Upstream *find(const UpstreamId &Id) const = 0;
};

/// Told when an upstream's state or life changes.
class FleetObserver {
public:
  virtual ~FleetObserver() = default;
  virtual void upstreamChanged(const Upstream &Changed, Time Now,
                               Actions &Out) = 0;
};

/// Says no to a request before it is admitted, or nothing.
class AdmissionGate {
public:
  virtual ~AdmissionGate() = default;
  virtual std::optional<NotRun> check(const Request &Asked, Time Now) = 0;
  /// Asked again while an admitted request waits and has not started: a
  /// refusal ends it at once.
  virtual std::optional<NotRun> reconsider(const Request &, Time) {
    return std::nullopt;
  }
};

/// Told of each step in the life of admitted requests.
class RequestObserver {
public:
  virtual ~RequestObserver() = default;
  virtual void admitted(const Request &, Time, Actions &) {}
  virtual void dispatched(const Request &, const Attempt &, Time, Actions &) {}
  /// The first chunk came.
  virtual void firstToken(const Request &, const Attempt &, Time, Actions &) {}
  virtual void attemptEnded(const Request &, const Attempt &,
                            const AttemptOutcome &, Time, Actions &) {}
  /// The final answer was given.
  virtual void ended(const Request &, const FinalAnswer &, Time, Actions &) {}
};

/// Chooses the upstream for one try.
class UpstreamSelector {
public:
  virtual ~UpstreamSelector() = default;
  /// Writes the decision's log line, with the candidates' scores, to \p Out.
  virtual Selection select(const Request &Wanted, const SelectionLimits &Limits,
                           Time Now, Actions &Out) = 0;
};

/// Orders waiting requests among teams.
class DispatchQueue {
public:
  virtual ~DispatchQueue() = default;
  virtual void push(const Request &Waiting, Time Now) = 0;
  /// Takes it out, wherever it stands; nothing happens if it is not there.
  virtual void remove(const RequestId &Id) = 0;
  /// Waiting requests in the order they should be tried now, most entitled
  /// first; at most \p Most of them.
  virtual std::vector<RequestId> candidates(std::size_t Most, Time Now) = 0;
  virtual std::size_t size() const = 0;
};

/// What the request life cycle should know of suspects and crashes.
class PoisonView {
public:
  virtual ~PoisonView() = default;
  /// Whether its next try must be kept apart.
  virtual bool isSuspect(const Request &Asked, Time Now) const = 0;
  /// Set once two upstreams died with it running.
  virtual bool isQuarantined(Fingerprint Content, Time Now) const = 0;
  /// How long its next try should wait, so that suspects run in turns.
  virtual Duration spacing(const Request &, Time) const { return Duration(0); }
};

/// Decides whether a failed try may be repeated.
class RetryPolicy {
public:
  virtual ~RetryPolicy() = default;
  /// Takes one from the budget when it says yes.
  virtual bool mayRetry(const Request &Asked, std::uint32_t AttemptsMade,
                        Time Now) = 0;
};

/// Appends records to the platform's log, many in one append (group commit).
class LogWriter {
public:
  virtual ~LogWriter() = default;
  /// The id by which LogObserver::appendSettled() names the record.
  virtual RecordId append(LogRecordBody Body, Time Now, Actions &Out) = 0;
  /// Stops trying to append the record. True: it never reached the log and
  /// never will; appendSettled() is then not called.
  virtual bool withdraw(const RecordId &) { return false; }
  /// Own records whose fate is not settled. A planned stop waits for them, or
  /// outcomes of claimed operations are lost with the process.
  virtual std::size_t unsettled() const { return 0; }
  /// Whether the log answered lately.
  virtual bool isReachable(Time Now) const = 0;
};

/// Told of each record of the log in its order, once, and of own appends.
class LogObserver {
public:
  virtual ~LogObserver() = default;
  virtual void recordRead(const StoredRecord &, Time, Actions &) {}
  /// \p Taken false: the record is not in the log and never will be. While
  /// this is not known, nothing is called.
  virtual void appendSettled(const RecordId &, bool /*Taken*/, Time,
                             Actions &) {}
  /// Everything the log holds had been read at this moment.
  virtual void caughtUp(LogOffset /*EndOffset*/, Time, Actions &) {}
  /// Records before \p StartOffset were lost before they were read.
  virtual void recordsMissed(LogOffset /*StartOffset*/, Time, Actions &) {}
};

/// The claim is this request's: it may be dispatched once.
struct ClaimGranted {};
/// The request ends with this answer; it must not be dispatched.
struct ClaimDenied {
  FinalAnswer Answer;
};
using ClaimVerdict = std::variant<ClaimGranted, ClaimDenied>;

/// Keeps non-idempotent operations to at most one run.
class ClaimKeeper {
public:
  virtual ~ClaimKeeper() = default;
  /// Answered by ClaimObserver::claimDecided(), possibly before it returns.
  virtual void claim(const Request &Asked, Time Now, Actions &Out) = 0;
  /// The request ended without any dispatch; the key may be claimed again.
  /// False when the claim may not be given back (it was dispatched).
  virtual void abandon(const Request &Asked, Time Now, Actions &Out) = 0;
  /// The dispatched operation ended so.
  virtual void finish(const Request &Asked, OutcomeRecord::Kind Ended,
                      std::string_view Result, Time Now, Actions &Out) = 0;
};

class ClaimObserver {
public:
  virtual ~ClaimObserver() = default;
  virtual void claimDecided(const RequestId &Id, const ClaimVerdict &Verdict,
                            Time Now, Actions &Out) = 0;
};

/// Takes memory on several engines for one attempt, or on none.
class GroupHolder {
public:
  virtual ~GroupHolder() = default;
  /// Answered by GroupObserver::groupDecided(), possibly before it returns.
  virtual void acquire(const Request &Asked, const Selected &Choice, Time Now,
                       Actions &Out) = 0;
  /// Lets everything go that is held for the request; idempotent.
  virtual void release(const RequestId &Id, Time Now, Actions &Out) = 0;
  /// Whether the hold of this host is still wanted. One that is not is freed
  /// after a grace.
  virtual bool isHeld(const HoldId &) const { return true; }
};

class GroupObserver {
public:
  virtual ~GroupObserver() = default;
  /// \p Holds is empty when the group could not be had.
  virtual void groupDecided(const RequestId &Id, std::span<const HoldId> Holds,
                            Time Now, Actions &Out) = 0;
};

/// Cancels attempts on upstreams until they confirm it or their deadline is
/// long past.
class AttemptCanceller {
public:
  virtual ~AttemptCanceller() = default;
  virtual void cancel(const AttemptId &Id, const UpstreamId &Where,
                      Time Deadline, Time Now, Actions &Out) = 0;
};

/// How far this host's planned stop has come.
class DrainView {
public:
  virtual ~DrainView() = default;
  /// A stop was asked; resolve names this host no more.
  virtual bool isLeaving() const = 0;
};

/// What is running here, for those that must wait for it or hand it over.
class RequestTable {
public:
  virtual ~RequestTable() = default;
  virtual std::size_t running() const = 0;
  /// The running requests, ordered by id.
  virtual std::vector<RequestId> ids() const = 0;
  virtual const Request *find(const RequestId &Id) const = 0;
  /// The live attempt of the request, or null.
  virtual const Attempt *attemptOf(const RequestId &Id) const = 0;
  /// The request an attempt of this host belongs to while it is live, or null.
  virtual const Request *owner(const AttemptId &Id) const = 0;
  /// The resume token of a streamed request; empty when it has none.
  virtual std::string resumeToken(const RequestId &Id) const = 0;
  /// The first chunk not yet known to be delivered.
  virtual std::uint64_t nextIndex(const RequestId &Id) const = 0;
  /// Ends the request here without an answer or a cancel: a peer serves it.
  virtual void handOver(const RequestId &Id, const Address &To, Time Now,
                        Actions &Out) = 0;
  /// Serves a stream handed over by a peer from its running attempt.
  virtual void adopt(const StreamHandover &Stream, Time Now, Actions &Out) = 0;
};

/// Tells an operator's question's part to those who answer it.
class StatusContributor {
public:
  virtual ~StatusContributor() = default;
  virtual void contribute(StatusReport &Report, Time Now) const = 0;
};

/// Collects several things of one kind.
template <class Interface> class ServiceList {
public:
  void add(Interface &Item) { this->Items.push_back(&Item); }
  std::span<Interface *const> all() const { return this->Items; }

private:
  std::vector<Interface *> Items;
};

/// The interfaces provided in one kernel, by type.
class Services {
public:
  template <class Interface> void provide(Interface &Provider) {
    this->Single[std::type_index(typeid(Interface))] = &Provider;
  }

  /// Throws Error(Internal) when no plug-in provides it.
  template <class Interface> Interface &get() const {
    const auto Found = this->Single.find(std::type_index(typeid(Interface)));
    if (Found == this->Single.end())
      throw Error(ErrorKind::Internal,
                  std::string("no plug-in provides ") +
                      typeid(Interface).name(),
                  "declare the dependency of the plug-in that asks for it");
    return *static_cast<Interface *>(Found->second);
  }

  /// The provider, or null when there is none.
  template <class Interface> Interface *find() const {
    const auto Found = this->Single.find(std::type_index(typeid(Interface)));
    if (Found == this->Single.end())
      return nullptr;
    return static_cast<Interface *>(Found->second);
  }

  /// The list of all that were added for the interface; created when empty.
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
