/// \file
/// The traffic thread of a gateway.
#pragma once

#include "app/GatewayContext.h"
#include "app/HostTopic.h"
#include "app/PendingAnswers.h"
#include "gateway/EngineBackoffs.h"
#include "http/HttpServer.h"
#include "relay/EngineCalls.h"

#include <set>
#include <thread>

namespace banyanpick {

/// Relays requests, reads the store and calls upstreams, on one thread.
class GatewayTraffic {
public:
  explicit GatewayTraffic(const GatewayContext &Context);
  ~GatewayTraffic();
  GatewayTraffic(const GatewayTraffic &) = delete;
  GatewayTraffic &operator=(const GatewayTraffic &) = delete;

  net::io_context &context() { return this->Io; }
  /// Starts the thread. Changed limits for callers are applied to \p Callers.
  void start(HttpServer &Callers);
  /// Stops the thread and drops what runs on it. Must be called on another
  /// thread.
  void stop();

  /// Executes the actions in the given order. Thread-safe.
  void post(std::vector<Action> Wanted);

  // --- called on the traffic thread only

  /// Serves one request of a caller until its answer is complete.
  Task<void> relay(HttpExchange &Exchange);
  /// Answers one request for the addresses of entry hosts.
  Task<void> resolve(HttpExchange &Exchange);

  /// Runs \p Callback on the traffic thread. Thread-safe.
  template <class Function> void run(Function Callback) {
    net::post(this->Io, std::move(Callback));
  }

private:
  /// Runs the coroutine. What it throws is logged and ends nothing else.
  void spawn(Task<void> Work);
  void perform(const Action &Wanted);
  void perform(const GatewayAction &Wanted);
  void dispatch(const DispatchRelay &Order);
  Task<void> runAttempt(std::shared_ptr<EngineRun> Run, DispatchRelay Order);
  /// Counts headers that the protocol does not know, and logs each name once.
  void reportUnknownHeaders(const EngineRun &Run, const UpstreamId &Engine);
  /// Sends the signals that an answer carries about its upstream, if any, to
  /// control.
  void reportSignals(const UpstreamId &Engine, Time SentAt,
                     const AnswerSignals &Signals);
  void reportSignals(const UpstreamId &Engine, Time SentAt,
                     const ClientResult &Result);
  void decode(const std::string &Document, ConfigurationSource From);
  Task<void> requestReport(AskReport Wanted);
  Task<void> reserve(ReserveMemory Wanted);
  Task<void> release(ReleaseMemory Wanted);
  /// Begins or ends reading the store.
  void followStore(const FollowStore &Order);
  void followDeclarations();
  void followEngines();
  void takeEngines(std::span<const KeyedRecord> Records, bool Complete,
                   LogOffset UpTo);
  void count(std::string_view Name, std::string_view Label);
  /// Sends the evacuation records among \p Records, if any, and whether the
  /// listing is complete, to control.
  void takeEvacuations(std::span<const KeyedRecord> Records, bool Complete,
                       LogOffset UpTo);
  /// Whether the relay may still be sent to its engine and the helpers.
  bool maySend(const DispatchRelay &Order) const;
  std::shared_ptr<CallerSide> caller(const RequestId &Id) const;

  const GatewayContext &Context;
  net::io_context Io;
  net::executor_work_guard<net::io_context::executor_type> Work;
  HttpServer *Server = nullptr;
  std::unique_ptr<OrderedStore> Store;
  HostTopic Hosts;
  std::shared_ptr<KeyedFollower> Declarations;
  std::shared_ptr<KeyedFollower> Engines;
  EngineLinkPool Links;
  EngineCalls Calls;
  /// The backoffs that upstreams requested. A relay that control dispatched
  /// before it learned of a backoff is not sent during the backoff.
  EngineBackoffs Backoffs;
  /// The engines of evacuated zones. A relay that control dispatched before it
  /// learned of the evacuation is not sent.
  std::set<UpstreamId> ClosedEngines;
  PendingAnswers<AnswerResolve> ResolveAnswers;
  std::map<RequestId, std::shared_ptr<CallerSide>> Callers;
  std::map<AttemptId, std::shared_ptr<EngineRun>> Runs;
  std::set<std::string> UnknownHeaders; ///< Names that were logged.
  std::uint64_t LastId = 0;
  std::thread Thread;
};

} // namespace banyanpick
