/// \file
/// The attempts that run on one traffic thread.
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

/// The objects and settings shared by all traffic threads.
struct TrafficContext {
  Identity Self;
  TrafficSettings Traffic;
  PlatformSettings Platform;
  EventSink &Events;
  Metrics &HostMetrics;
  ProcessClock Clock;
};

/// Runs attempts against engines and services. Used on the thread of its
/// executor only.
class AttemptTable {
public:
  AttemptTable(const net::any_io_executor &Executor,
               const TrafficContext &Context)
      : Executor(Executor), Context(Context),
        Client(Executor, Context.Self.Host, Context.Platform) {}

  /// Runs the attempt for the entry. Sends AttemptEnded when it ends, unless it
  /// is cancelled.
  void dispatch(DispatchAttempt Wanted, std::shared_ptr<RelayEntry> Entry);

  /// Aborts the attempt if it runs here and sends the cancellation to the
  /// upstream.
  void cancel(CancelAttempt Wanted);

  std::size_t size() const { return this->ActiveAttempts.size(); }

private:
  /// One running attempt. Chunks of a cancelled attempt are discarded.
  class ActiveAttempt : public ChunkSink {
  public:
    virtual void abort() = 0;
    virtual AttemptId streamId() const = 0;
    Task<void> take(std::uint64_t Index, std::string Text) override;

    AttemptTable *Owner = nullptr;
    AttemptId Id;
    UpstreamId Upstream;
    Address At;
    std::shared_ptr<RelayEntry> Entry;
    std::uint64_t ChunkCount = 0;
    bool Cancelled = false;
    bool TooLarge = false;
  };
  class ActiveEngineAttempt;
  class ActiveServiceCall;

  Task<void> runEngine(std::shared_ptr<ActiveEngineAttempt> Active);
  Task<void> runService(std::shared_ptr<ActiveServiceCall> Active);
  void start(std::shared_ptr<ActiveAttempt> Active,
             const DispatchAttempt &Wanted);
  void finish(ActiveAttempt &Active, AttemptOutcome Outcome);
  void reportProgress(const ActiveAttempt &Active) const;
  Task<void> cancelUpstream(CancelAttempt Wanted, AttemptId Stream);
  void reportUnsent(const AttemptId &Id, AttemptOutcome Outcome) const;

  net::any_io_executor Executor;
  const TrafficContext &Context;
  UpstreamClient Client;
  std::unordered_map<AttemptId, std::shared_ptr<ActiveAttempt>> ActiveAttempts;
};

} // namespace banyanpick
