/// \file
/// The traffic thread of a gateway.
#pragma once

#include "app/EventSink.h"
#include "app/GatewaySettings.h"
#include "app/PendingAnswers.h"
#include "app/ProcessClock.h"
#include "gateway/EngineBackoffs.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "metrics/Metrics.h"
#include "relay/GatewayProtocol.h"

#include <set>
#include <thread>

namespace banyanpick {

/// What the traffic thread of a gateway uses.
struct GatewayContext {
  Identity Self;
  GatewaySettings Values;
  const GatewayProtocol &Protocol;
  EventSink &Events;
  Metrics &HostMetrics;
  const ProcessClock &Clock;
};

/// Relays requests, reads the store and talks to upstreams, on one thread.
class GatewayTraffic {
public:
  explicit GatewayTraffic(const GatewayContext &Context);
  ~GatewayTraffic();
  GatewayTraffic(const GatewayTraffic &) = delete;
  GatewayTraffic &operator=(const GatewayTraffic &) = delete;

  net::io_context &context() { return this->Io; }
  /// \p Callers is told new bounds.
  void start(HttpServer &Callers);
  /// Ends the thread; what runs is dropped. On another thread.
  void stop();

  /// Carries them out in their order. On any thread.
  void post(std::vector<Action> Wanted);

  // --- on the thread only

  /// Serves one request of a caller to its end.
  Task<void> relay(HttpExchange &Exchange);
  /// Answers one question for hosts.
  Task<void> resolve(HttpExchange &Exchange);
  std::size_t openRequests() const { return this->Callers.size(); }

  /// Runs \p What on the thread. On any thread.
  template <class Function> void run(Function Callback) {
    net::post(this->Io, std::move(Callback));
  }

private:
  void perform(const Action &Wanted);
  void perform(const GatewayAction &Wanted);
  void dispatch(const DispatchRelay &Order);
  Task<void> runAttempt(std::shared_ptr<EngineRun> Run, DispatchRelay Order);
  /// Tells of headers that the protocol does not know, of each name once.
  void reportUnknownHeaders(const EngineRun &Run, const UpstreamId &Engine);
  /// Passes on what an answer said of its upstream, if anything.
  void reportSignals(const UpstreamId &Engine, Time SentAt,
                     const AnswerSignals &Signals);
  void reportSignals(const UpstreamId &Engine, Time SentAt,
                     const ClientResult &Result);
  void decode(const std::string &Document, ConfigurationSource From);
  Task<void> requestReport(AskReport Wanted);
  Task<void> reserve(ReserveMemory Wanted);
  Task<void> release(ReleaseMemory Wanted);
  Task<void> readHosts();
  Task<void> announce(bool Present);
  void followDeclarations();
  void followEngines();
  void takeEngines(std::span<const KeyedRecord> Records, bool Complete,
                   LogOffset UpTo);
  void count(std::string_view Name, std::string_view Label);
  std::shared_ptr<CallerSide> caller(const RequestId &Id) const;

  const GatewayContext &Context;
  net::io_context Io;
  net::executor_work_guard<net::io_context::executor_type> Work;
  HttpServer *Server = nullptr;
  std::unique_ptr<OrderedStore> Store;
  std::shared_ptr<KeyedFollower> Declarations;
  std::shared_ptr<KeyedFollower> Engines;
  HttpClient Client;
  EngineLinkPool Links;
  /// What was chosen before an upstream asked for rest is not sent after it.
  EngineBackoffs Backoffs;
  PendingAnswers<AnswerResolve> ResolveAnswers;
  std::map<RequestId, std::shared_ptr<CallerSide>> Callers;
  std::map<AttemptId, std::shared_ptr<EngineRun>> Runs;
  std::set<std::string> UnknownHeaders; ///< That were told of.
  std::uint64_t LastId = 0;
  std::thread Thread;
};

} // namespace banyanpick
