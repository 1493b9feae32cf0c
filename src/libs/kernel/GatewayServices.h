/// \file
/// The interfaces between the plug-ins of a gateway.
#pragma once

#include "gateway/RouteTable.h"
#include "kernel/Services.h"

#include <span>

namespace banyanpick {

/// What a host knows about how current its configuration is.
struct ConfigurationFreshness {
  /// The oldest version in force elsewhere that this host lacks; 0: none known.
  std::uint64_t MissingVersion = 0;
  Duration MissingFor{}; ///< Since it was first known to be in force elsewhere.
  /// Age of the newest report of a peer or the store. The maximum means that
  /// there was none.
  Duration ReportAge = Duration::max();
  /// Estimated time until the missing version is in force here; 0: unknown.
  Duration ExpectedIn{};
};

/// The configuration in force.
class RouteView {
public:
  virtual ~RouteView() = default;
  /// Returns null until a configuration is loaded.
  virtual const RouteTable *routes() const = 0;
  /// Whether another host has had a newer configuration in force for longer
  /// than the allowed propagation time.
  virtual bool isStale(Time Now) const = 0;
  /// Whether a newer configuration may be in force elsewhere, so that what this
  /// one does not allow may be allowed.
  virtual bool mayBeOutdated(Time Now) const = 0;
  virtual ConfigurationFreshness freshness(Time Now) const = 0;
};

/// Whether an upstream may receive requests.
enum class EngineStanding {
  Usable,
  Missing, ///< Its registration disappeared around an outage of the store, so
           ///< it may be alive. Used only if no other upstream is available.
  Leaving, ///< It reported so, or another upstream has its address.
};

/// Returns the standing's name in logs.
std::string_view name(EngineStanding Standing);

/// An upstream that is registered or was removed recently.
struct RegisteredEngine {
  EngineRecord Record;
  EngineStanding Standing = EngineStanding::Usable;
  LogOffset Offset = 0;       ///< Offset of the last record applied.
  LogOffset ChangedAt = 0;    ///< Offset of the last record that changed it.
  Time Since{};               ///< When the standing last changed.
  std::uint64_t NameHash = 0; ///< Hash of its name, equal for all incarnations.
                              ///< Partitions the engines among hosts.
  Time ColdUntil{}; ///< End of the cold time that registrations declared.
};

/// The registered upstreams.
class EngineDirectory {
public:
  virtual ~EngineDirectory() = default;
  /// Returns the upstream, or null if it was removed.
  virtual const RegisteredEngine *find(const UpstreamId &Id) const = 0;
  /// Returns the upstreams of the service that are not removed, ordered by id.
  virtual std::span<const RegisteredEngine *const>
  ofService(const ServiceId &Service) const = 0;
  /// Called when the upstream's address refused a request because it now
  /// belongs to another upstream.
  virtual void addressTaken(const UpstreamId &Id, Time Now, Actions &Out) = 0;
  /// Called when this incarnation of the upstream reports that it is leaving.
  /// It never becomes usable again, even if the registry later says so. \p From
  /// is the source of the report, for logs.
  virtual void noteLeaving(const UpstreamId &Id, std::string_view From,
                           Time Now, Actions &Out) = 0;
};

/// Notified when an upstream is added, changes its standing or is removed.
class EngineObserver {
public:
  virtual ~EngineObserver() = default;
  virtual void engineChanged(const RegisteredEngine &, Time, Actions &) {}
  virtual void engineRemoved(const UpstreamId &, Time, Actions &) {}
  /// A registration says that the engine is cold. \p WasWarm: the engine was
  /// registered before and was not cold, so requests to it may be under way.
  virtual void engineCold(const EngineRecord & /*Record*/, bool /*WasWarm*/,
                          Time, Actions &) {}
  /// The engine restarted. The work and memory of the earlier incarnation are
  /// lost. Followed by engineRemoved() for the earlier incarnation.
  virtual void engineRestarted(const UpstreamId &, Time, Actions &) {}
};

/// One attempt of a relayed request on one upstream.
struct RelayAttempt {
  AttemptId Id;
  RequestId Request;
  UpstreamId Engine;
  ServiceId Service;
  std::vector<HelperEngine> Helpers; ///< Engines that prefill a part of it.
  std::uint64_t PromptTokens = 0;
  std::uint64_t OutputTokens = 0; ///< Maximum length of the answer.
  Fingerprint Content;
  std::vector<Fingerprint> PromptParts; ///< See RelayHead.
  Time SentAt{};
  Duration Predicted{};   ///< From sending to the first event; zero: unknown.
  Duration MaxEventGap{}; ///< Between its events; zero: not declared.
  bool Began = false;     ///< The first event was sent to the caller.
  Time BeganAt = Never;   ///< When that was.
  /// It was forwarded to another host, which Engine names. Observers are not
  /// notified of it.
  bool IsForward = false;
};

/// Notified of each state change of an attempt.
class RelayObserver {
public:
  virtual ~RelayObserver() = default;
  virtual void attemptSent(const RelayAttempt &, Time, Actions &) {}
  virtual void attemptBegan(const RelayAttempt &, Time, Actions &) {}
  virtual void attemptEnded(const RelayAttempt &, const RelayOutcome &, Time,
                            Actions &) {}
  /// This host cancelled the attempt and closed its connection.
  virtual void attemptCancelled(const RelayAttempt &, Time, Actions &) {}
};

/// The upstreams that are distrusted because their attempts fail.
class EngineTrustView {
public:
  virtual ~EngineTrustView() = default;
  /// Whether requests should go to another upstream if possible.
  virtual bool isAvoided(const UpstreamId &Id, Time Now) const = 0;
  /// Returns the engines that this host itself observed to fail, for its peers.
  virtual std::vector<EngineWork::Distrust> distrusted(Time Now) const = 0;
};

/// The remaining quota at engines that declare a request limit.
class EngineQuota {
public:
  virtual ~EngineQuota() = default;
  virtual bool isLimited(const UpstreamId &Engine) const = 0;
  /// Whether the engine is cold. Nothing but single requests with quota is sent
  /// to a cold engine.
  virtual bool isCold(const UpstreamId &, Time) const { return false; }
  /// Whether one more request may be sent now. Always true for engines that
  /// declare no limit.
  virtual bool hasQuota(const UpstreamId &Engine, Time Now) const = 0;
  /// Returns how many connections this host may have to the engine, idle and in
  /// use; zero: no limit.
  virtual std::uint32_t maxConnections(const UpstreamId &) const { return 0; }
  /// Called when a request would have been sent if quota were available.
  virtual void requestQuota(const UpstreamId &Engine, Time Now) = 0;
  /// Returns the delay until quota may be available, if it is known.
  virtual std::optional<Duration> quotaAvailableAfter(const UpstreamId &Engine,
                                                      Time Now) const = 0;
};

/// Why an upstream accepts no requests from this host now.
struct EngineBlocked {
  enum class Why {
    Leaving,    ///< Leaving or removed.
    BackingOff, ///< It asked this host to back off.
    AtLimit,    ///< The hosts together have used up its limit.
    Evacuated,  ///< The operators evacuate its zone.
  } Reason = Why::Leaving;
  std::optional<Duration> AvailableAfter; ///< Absent: unknown or never.
};

/// Decides whether this host may send an upstream a request now.
class EngineGate {
public:
  virtual ~EngineGate() = default;
  /// Returns why and for how long the upstream is blocked, or nothing if it is
  /// not.
  virtual std::optional<EngineBlocked> blocked(const UpstreamId &Engine,
                                               Time Now) const = 0;
  /// Whether another upstream is preferable because this one asked another host
  /// to back off.
  virtual bool isDiscouraged(const UpstreamId &Engine, Time Now) const = 0;
};

/// Whether a request may be sent, with regard to contents that crash upstreams.
enum class ContentDecision {
  Send,
  Wait,   ///< A content of it is suspected; a decision is expected soon.
  Refuse, ///< A content of it crashes upstreams.
};

/// The contents that crash upstreams: whole requests and parts of prompts.
class CrashView {
public:
  virtual ~CrashView() = default;
  /// Decides on the next attempt of the request. The request may be the probe
  /// of its suspected contents; it is then to be sent at once, and counts as
  /// the probe until its attempt ends.
  virtual ContentDecision decide(const RelayHead &Head, Time Now) = 0;
  /// Whether the request is to be ended at once, also if it was sent: it would
  /// crash its upstream, and is not a probe.
  virtual bool mustEnd(const RelayHead &Head) const = 0;
};

/// Notified when a content is quarantined.
class QuarantineObserver {
public:
  virtual ~QuarantineObserver() = default;
  virtual void contentQuarantined(Fingerprint Content, Time Now,
                                  Actions &Out) = 0;
};

/// The home regions of a request. Both lists are binding.
struct HomeRegions {
  std::vector<RegionId> OfRoute; ///< Empty: not restricted.
  std::vector<RegionId> OfTeam;  ///< Empty: not restricted.

  bool isRestricted() const {
    return !this->OfRoute.empty() || !this->OfTeam.empty();
  }
};

/// The regions of the zones.
class RegionView {
public:
  virtual ~RegionView() = default;
  /// Returns the region of the zone, or an empty name if it is not known.
  virtual RegionId regionOf(const ZoneId &Zone) const = 0;
  /// Whether requests with these home regions may run in the zone. Always true
  /// if the settings declare no regions.
  virtual bool isHome(const ZoneId &Zone, const HomeRegions &Homes) const = 0;
};

/// The requirements on an upstream for one attempt.
struct EngineRequirements {
  RequestId Request;
  ServiceId Service;
  std::uint64_t PromptTokens = 0;
  std::uint64_t OutputTokens = 0;
  Duration Objective{};
  Duration MaxEventGap{};     ///< Between events; zero: not declared.
  Duration Waited{};          ///< Time since the request arrived.
  Duration Left{};            ///< Time until its deadline.
  bool MayRetryLater = false; ///< This is the caller's first attempt; the
                              ///< caller may be asked to retry later.
  std::span<const UpstreamId> Excluded; ///< Upstreams not to select.
  /// The regions of the upstream and its helpers. Null: not restricted.
  const HomeRegions *Homes = nullptr;
};

/// The upstream selected for one attempt.
struct SelectedEngine {
  UpstreamId Engine;
  /// Helpers with Tokens must reserve that much memory before the attempt is
  /// sent. In that case the upstream itself is the first of them.
  std::vector<HelperEngine> Helpers;
  std::optional<std::uint32_t> Urgency;
  Duration Predicted{};       ///< To the first event; zero: unknown.
  std::size_t AtLimit = 0;    ///< Engines skipped because they are at limit.
  std::size_t BackingOff = 0; ///< Engines skipped because of a backoff.
};

/// The request must wait until prompts with precedence are prefilled.
struct AwaitTurn {
  Duration CheckAfter{}; ///< Delay before the next selection.
};

/// No upstream can start the request in time now, but one can after a delay.
struct RetryLater {
  enum class Why {
    TooLate, ///< The queued work takes too long.
    Blocked, ///< All engines are at their limits, backing off or evacuated.
    NoHome,  ///< No engine is in a home region of the request.
  } Reason = Why::TooLate;
  Duration After{};
};

/// No upstream can take the request now.
struct NoEngine {};

using EngineChoice =
    std::variant<SelectedEngine, AwaitTurn, RetryLater, NoEngine>;

/// Selects upstreams.
class EngineSelector {
public:
  virtual ~EngineSelector() = default;
  /// A request that got AwaitTurn must call this again or it loses its place in
  /// the queue.
  virtual EngineChoice choose(const EngineRequirements &Needed, Time Now) = 0;
  /// Removes a request that ended from the queue.
  virtual void forget(const RequestId &Request, Time Now) = 0;
};

/// Reserves memory on engines for a prompt that does not fit on one engine.
class MemoryReserver {
public:
  virtual ~MemoryReserver() = default;
  /// Requests the memory of all \p Shares with Tokens. Answered by
  /// MemoryObserver::memoryDecided(), never before the return.
  virtual void acquire(const RequestId &Id,
                       std::span<const HelperEngine> Shares, Time Now,
                       Actions &Out) = 0;
  /// Releases reservations that are held or requested; idempotent.
  virtual void release(const RequestId &Id, Time Now, Actions &Out) = 0;
};

/// Notified of the result of memory reservations.
class MemoryObserver {
public:
  virtual ~MemoryObserver() = default;
  /// The engine has less free memory than a requested share needs.
  virtual void memoryRefused(const UpstreamId &, Time) {}
  /// \p Shares contains the reserved shares. It is empty, and no memory is
  /// held, if not all of them could be reserved.
  virtual void memoryDecided(const RequestId &, std::span<const HelperEngine>,
                             Time, Actions &) {}
  /// The request that was sent does not use its memory, which was released.
  virtual void memoryIdle(const RequestId &, Time, Actions &) {}
};

/// When this host's planned stop ends what it runs.
class StopSchedule {
public:
  virtual ~StopSchedule() = default;
  /// Returns when every running request gets its final answer, so that there is
  /// time to write it before the process exits. Never if no stop was requested.
  virtual Time finalAnswersAt() const = 0;
  /// Returns from when on only callers come that got no new addresses of hosts.
  /// Never if no stop was requested.
  virtual Time lateCallersFrom() const = 0;
  /// Whether the process is about to exit, so that no request may begin.
  virtual bool isExiting() const = 0;
};

/// The number of requests that this gateway is relaying.
class RelayCount {
public:
  virtual ~RelayCount() = default;
  virtual std::size_t running() const = 0;
};

} // namespace banyanpick
