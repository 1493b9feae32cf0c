/// \file
/// The tries that run on one traffic thread.
#pragma once

#include "app/EventSink.h"
#include "app/ProcessClock.h"
#include "app/RelayEntry.h"
#include "app/TrafficSettings.h"
#include "metrics/Metrics.h"
#include "native/EngineAttempt.h"
#include "native/ServiceCall.h"
#include "native/UpstreamClient.h"

#include <unordered_map>

namespace banyanpick {

/// What all traffic threads share.
struct TrafficContext {
  Identity Self;
  TrafficSettings Traffic;
  PlatformSettings Platform;
  EventSink &Events;
  Metrics &HostMetrics;
  ProcessClock Clock;
};

/// Used on one thread, that of its executor.
class AttemptTable {
public:
  AttemptTable(const net::any_io_executor &Executor,
               const TrafficContext &Context)
      : Executor(Executor), Context(Context),
        Client(Executor, Context.Self.Host, Context.Platform) {}

  /// Runs the try for the entry; its end is an event unless it is cancelled.
  void dispatch(DispatchAttempt Wanted, std::shared_ptr<RelayEntry> Entry);

  /// Drops the try if it runs here, and tells the upstream.
  void cancel(CancelAttempt Wanted);

  std::size_t size() const { return this->Live.size(); }

private:
  /// One running try. Chunks of a cancelled one go nowhere.
  class Run : public ChunkSink {
  public:
    virtual void drop() = 0;
    virtual AttemptId streamId() const = 0;
    Task<void> take(std::uint64_t Index, std::string Text) override;

    AttemptTable *Owner = nullptr;
    AttemptId Id;
    UpstreamId Upstream;
    Address At;
    std::shared_ptr<RelayEntry> Entry;
    std::uint64_t Taken = 0;
    bool Cancelled = false;
    bool TooLarge = false;
  };
  class EngineRun;
  class ServiceRun;

  Task<void> runEngine(std::shared_ptr<EngineRun> Each);
  Task<void> runService(std::shared_ptr<ServiceRun> Each);
  void start(std::shared_ptr<Run> Each, const DispatchAttempt &Wanted);
  void ended(Run &Each, AttemptOutcome Outcome);
  void progressed(const Run &Each) const;
  Task<void> tellUpstream(CancelAttempt Wanted, AttemptId Stream);
  void reportUnsent(const AttemptId &Id, AttemptOutcome Outcome) const;

  net::any_io_executor Executor;
  const TrafficContext &Context;
  UpstreamClient Client;
  std::unordered_map<AttemptId, std::shared_ptr<Run>> Live;
};

} // namespace banyanpick
