/// \file
/// One entry host of a virtual deployment: a kernel and the driver that
/// executes its actions.
#pragma once

#include "harness/EventQueue.h"
#include "harness/FakeEngine.h"
#include "kernel/Kernel.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyanpick {

class VirtualDeployment;

/// Drives a kernel under the rules of the daemon: callers receive each chunk
/// once, without gaps, and no chunks of other answers. A host can be frozen,
/// killed and restarted with a new incarnation.
class VirtualHost {
public:
  VirtualHost(VirtualDeployment &Deployment, HostListing Listing);

  void start(Incarnation Life, std::uint64_t Seed);
  void kill();
  void freeze();
  void thaw();

  /// Passes an event to the kernel, or defers it while frozen.
  void deliver(const Event &Incoming);
  /// Runs \p Work if \p Life is still the running incarnation. Defers it while
  /// frozen.
  void whenRunning(Incarnation Life, std::function<void()> Work);

  /// Called when a caller connects with a request or, with \p Token, to resume
  /// a stream.
  RequestId connect(std::size_t Caller, const RequestHead &Head);
  RequestId reconnect(std::size_t Caller, const std::string &Token,
                      std::uint64_t NextIndex);
  void disconnect(std::size_t Caller);

  /// Called when chunks arrive from an engine.
  void receive(const ChunkBatch &Chunks);
  /// Called when the connection of an attempt ends before its last chunk.
  void breakAttempt(const AttemptId &Attempt, bool UpstreamDied);
  /// Ends an attempt and reports its outcome to the kernel.
  void endAttempt(const AttemptId &Attempt, const AttemptOutcome &Outcome);
  /// Returns the caller of the request to which the attempt belongs.
  std::optional<std::size_t> callerOf(const AttemptId &Attempt) const;

  const HostListing &listing() const { return this->Listing; }
  const std::string &name() const { return this->Listing.Id.Value; }
  bool isRunning() const { return this->HostKernel != nullptr; }
  bool isFrozen() const { return this->Frozen; }
  Incarnation life() const { return this->Life; }
  std::uint64_t seed() const { return this->Seed; }
  Time thawedAt() const { return this->ThawedAt; }
  Kernel &kernel() { return *this->HostKernel; }

private:
  /// The part of an answer received so far.
  struct RelayedAnswer {
    std::optional<RequestHead> Head; ///< Absent for adopted streams.
    std::optional<std::size_t> Caller;
    Fingerprint Content;
    std::uint64_t Base = 0; ///< First chunk available on this host.
    std::uint64_t Next = 0; ///< First chunk not yet received.
  };
  /// An attempt whose chunks are expected.
  struct PendingAttempt {
    RequestId Request;
    UpstreamId Upstream;
    AttemptId Echoed;
    bool Progressed = false;
  };

  void handleEvent(const Event &Incoming);
  void scheduleWake();
  void carryOut(const std::vector<Action> &Wanted);
  void carryOut(const Action &Wanted);
  void dispatch(const DispatchAttempt &Wanted);
  void answer(const AnswerRequest &Wanted);
  void redirect(const RedirectCaller &Wanted);
  void join(const JoinStream &Wanted);
  void endRelay(const RequestId &Request);
  void beginStop();
  void stopWhenIdle();

  /// Number of chunks between two progress events.
  static constexpr std::uint64_t ProgressInterval = 64;

  VirtualDeployment &Deployment;
  HostListing Listing;
  std::unique_ptr<Kernel> HostKernel;
  Incarnation Life;
  std::uint64_t Seed = 0;
  bool Frozen = false;
  bool Stopping = false;
  Time WakeAt = Never;
  Time ThawedAt{};
  std::uint64_t RequestsMade = 0;
  std::map<RequestId, RelayedAnswer> Relays;
  std::map<RequestId, std::size_t> Reconnecting;
  std::map<AttemptId, PendingAttempt> Attempts;
  std::vector<std::function<void()>> DeferredWork;
};

} // namespace banyanpick
