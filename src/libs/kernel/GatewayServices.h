/// \file
/// What the plug-ins of a gateway offer each other.
#pragma once

#include "gateway/RouteTable.h"
#include "kernel/Services.h"

#include <span>

namespace banyanpick {

/// The configuration in force.
class RouteView {
public:
  virtual ~RouteView() = default;
  /// Null until a configuration is known.
  virtual const RouteTable *routes() const = 0;
  /// Whether a newer one has been in force elsewhere for longer than it may
  /// take to come here.
  virtual bool isStale(Time Now) const = 0;
};

/// Whether an upstream may get work.
enum class EngineStanding {
  Usable,
  Missing, ///< Its registration vanished beside an outage of the store; it may
           ///< live. Used only when nothing else is there.
  Leaving, ///< It said so, or another one has its address.
};

/// The standing's name in logs.
std::string_view name(EngineStanding Standing);

/// One upstream that is registered, or was until lately.
struct RegisteredEngine {
  EngineRecord Record;
  EngineStanding Standing = EngineStanding::Usable;
  LogOffset Offset = 0;       ///< Of the last record taken in,
  LogOffset ChangedAt = 0;    ///< and of the last that said anything new.
  Time Since{};               ///< When the standing last changed.
  std::uint64_t NameHash = 0; ///< Hash of its name, all of its lives alike;
                              ///< divides engines among hosts.
};

/// Who the upstreams are.
class EngineDirectory {
public:
  virtual ~EngineDirectory() = default;
  /// The upstream, or null when it is gone.
  virtual const RegisteredEngine *find(const UpstreamId &Id) const = 0;
  /// All of the service that are not gone, ordered by id.
  virtual std::span<const RegisteredEngine *const>
  ofService(const ServiceId &Service) const = 0;
  /// The upstream refused a request that named it: another has its address.
  virtual void addressTaken(const UpstreamId &Id, Time Now, Actions &Out) = 0;
  /// This life of the upstream says that it leaves. It is never usable again,
  /// whatever the registry says of it later. \p From: who told, for logs.
  virtual void noteLeaving(const UpstreamId &Id, std::string_view From,
                           Time Now, Actions &Out) = 0;
};

/// Told when an upstream comes, changes its standing or goes.
class EngineObserver {
public:
  virtual ~EngineObserver() = default;
  virtual void engineChanged(const RegisteredEngine &, Time, Actions &) {}
  virtual void engineRemoved(const UpstreamId &, Time, Actions &) {}
  /// The engine started anew: whatever this earlier life of it was working on
  /// or kept in memory is lost. engineRemoved() follows.
  virtual void engineRestarted(const UpstreamId &, Time, Actions &) {}
};

/// One try of a relayed request on one upstream.
struct RelayAttempt {
  AttemptId Id;
  RequestId Request;
  UpstreamId Engine;
  ServiceId Service;
  std::vector<HelperEngine> Helpers; ///< That read a part of its prompt.
  std::uint64_t PromptTokens = 0;
  std::uint64_t OutputTokens = 0; ///< At most.
  Fingerprint Content;
  Time SentAt{};
  Duration Predicted{};   ///< From sending to the first event; zero: unknown.
  Duration MaxEventGap{}; ///< Between its events; zero: not declared.
  bool Began = false;     ///< The first event went to the caller.
};

/// Told of each step of each try.
class RelayObserver {
public:
  virtual ~RelayObserver() = default;
  virtual void attemptSent(const RelayAttempt &, Time, Actions &) {}
  virtual void attemptBegan(const RelayAttempt &, Time, Actions &) {}
  virtual void attemptEnded(const RelayAttempt &, const RelayOutcome &, Time,
                            Actions &) {}
  /// Given up here; its connection is closed.
  virtual void attemptCancelled(const RelayAttempt &, Time, Actions &) {}
};

/// Which upstreams fail what they are given.
class EngineTrustView {
public:
  virtual ~EngineTrustView() = default;
  /// Whether work should go elsewhere if it can.
  virtual bool isAvoided(const UpstreamId &Id, Time Now) const = 0;
  /// What this host saw itself, for its peers.
  virtual std::vector<EngineWork::Distrust> distrusted(Time Now) const = 0;
};

/// How much more engines take that name how many requests they take.
class EngineQuota {
public:
  virtual ~EngineQuota() = default;
  virtual bool isLimited(const UpstreamId &Engine) const = 0;
  /// Whether one more request may be sent there now; always, where the engine
  /// names no limit.
  virtual bool hasQuota(const UpstreamId &Engine, Time Now) const = 0;
  /// A request would have gone there if there were room.
  virtual void requestQuota(const UpstreamId &Engine, Time Now) = 0;
  /// Until there may be room; unknown while nobody has told.
  virtual std::optional<Duration> quotaAvailableAfter(const UpstreamId &Engine,
                                                      Time Now) const = 0;
};

/// That an upstream takes no request of this host now.
struct EngineBlocked {
  enum class Why {
    Leaving,    ///< Or gone.
    BackingOff, ///< It asked this host for rest.
    AtLimit,    ///< The hosts together have sent what it takes.
  } Is = Why::Leaving;
  std::optional<Duration> AvailableAfter; ///< Unknown, or never, when absent.
};

/// May this host send the upstream a request now?
class EngineGate {
public:
  virtual ~EngineGate() = default;
  /// Why not, and until when; nothing when it may.
  virtual std::optional<EngineBlocked> blocked(const UpstreamId &Engine,
                                               Time Now) const = 0;
  /// Whether it had better go elsewhere: the upstream asked another host for
  /// rest.
  virtual bool isDiscouraged(const UpstreamId &Engine, Time Now) const = 0;
};

/// Which contents crash upstreams.
class CrashView {
public:
  virtual ~CrashView() = default;
  virtual bool isQuarantined(Fingerprint Content, Time Now) const = 0;
};

/// What is wanted of an upstream for one try.
struct EngineRequirements {
  RequestId Request;
  ServiceId Service;
  std::uint64_t PromptTokens = 0;
  std::uint64_t OutputTokens = 0;
  Duration Objective{};
  Duration MaxEventGap{};     ///< Between events; zero: undeclared.
  Duration Waited{};          ///< Since it arrived.
  Duration Left{};            ///< Until its time is over.
  bool MayRetryLater = false; ///< Its caller has not tried before, and may be
                              ///< told to come back.
  std::span<const UpstreamId> Excluded; ///< Not on these.
};

/// The upstream for one try.
struct SelectedEngine {
  UpstreamId Engine;
  /// Those with Tokens must set so much memory aside before the try is sent;
  /// the upstream itself is then the first of them.
  std::vector<HelperEngine> Helpers;
  std::optional<std::uint32_t> Urgency;
  Duration Predicted{};       ///< To the first event; zero: unknown.
  std::size_t AtLimit = 0;    ///< Engines passed over, as they take no more,
  std::size_t BackingOff = 0; ///< and as they asked for rest.
};

/// Prompts that go before it are to be read first.
struct AwaitTurn {
  Duration CheckAfter{}; ///< When it may be its turn, from now.
};

/// No upstream can begin it in time now; one can when it comes back.
struct RetryLater {
  enum class Why {
    TooLate, ///< What is ahead of it takes too long.
    Blocked, ///< All engines are at their limits or at rest.
  } Is = Why::TooLate;
  Duration After{};
};

/// No upstream can take it now.
struct NoEngine {};

using EngineChoice =
    std::variant<SelectedEngine, AwaitTurn, RetryLater, NoEngine>;

/// Chooses upstreams.
class EngineSelector {
public:
  virtual ~EngineSelector() = default;
  /// A request that awaits its turn asks again, or loses its place.
  virtual EngineChoice choose(const EngineRequirements &Wanted, Time Now) = 0;
  /// The request awaits its turn no longer: it is over.
  virtual void forget(const RequestId &Request, Time Now) = 0;
};

/// Sets memory aside on engines for a prompt that one engine can't hold.
class MemoryReserver {
public:
  virtual ~MemoryReserver() = default;
  /// Asks for the memory of all \p Shares that name Tokens. Answered by
  /// MemoryObserver::memoryDecided(), not before it returns.
  virtual void acquire(const RequestId &Id,
                       std::span<const HelperEngine> Shares, Time Now,
                       Actions &Out) = 0;
  /// Lets go what is held or asked for; idempotent.
  virtual void release(const RequestId &Id, Time Now, Actions &Out) = 0;
};

/// Told how setting memory aside went.
class MemoryObserver {
public:
  virtual ~MemoryObserver() = default;
  /// The engine has less memory free than a share asked for needs.
  virtual void memoryRefused(const UpstreamId &, Time) {}
  /// \p Shares have their reservations; empty when they could not all be had,
  /// and nothing is held then.
  virtual void memoryDecided(const RequestId &, std::span<const HelperEngine>,
                             Time, Actions &) {}
};

/// How much this gateway has under way.
class RelayCount {
public:
  virtual ~RelayCount() = default;
  virtual std::size_t running() const = 0;
};

} // namespace banyanpick
