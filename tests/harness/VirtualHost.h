/// \file
/// One entry host of a virtual deployment: a kernel and the driver that
/// carries out its actions.
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

/// Keeps the daemon's rules: no chunk twice, none missing, none of another's;
/// it may be frozen, killed and started again with a new life.
class VirtualHost {
public:
  VirtualHost(VirtualDeployment &Deployment, HostListing Listing);

  void start(Incarnation Life, std::uint64_t Seed);
  void kill();
  void freeze();
  void thaw();

  /// Hands an event to the kernel, or keeps it while frozen.
  void deliver(const Event &Incoming);
  /// Runs \p Todo unless this life is over; waits while frozen.
  void whenRunning(Incarnation Life, std::function<void()> Work);

  /// A caller connected with a request or, with \p Token, to resume one.
  RequestId connect(std::size_t Caller, const RequestHead &Head);
  RequestId reconnect(std::size_t Caller, const std::string &Token,
                      std::uint64_t NextIndex);
  void disconnect(std::size_t Caller);

  /// Chunks came from an engine.
  void receive(const ChunkBatch &Chunks);
  /// The connection of a try ended without its end mark.
  void breakAttempt(const AttemptId &Attempt, bool UpstreamDied);
  /// A try ended in another way than by its chunks.
  void endAttempt(const AttemptId &Attempt, const AttemptOutcome &Outcome);
  /// The caller of the request that the try belongs to.
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
  /// A request's answer so far.
  struct RelayedAnswer {
    std::optional<RequestHead> Head; ///< Absent: the prompt is not here.
    std::optional<std::size_t> Caller;
    Fingerprint Content;
    std::uint64_t Base = 0; ///< First chunk kept here.
    std::uint64_t Next = 0; ///< First chunk not yet here.
  };
  /// A try whose chunks are awaited.
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

  /// Chunks between two reports of progress.
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
