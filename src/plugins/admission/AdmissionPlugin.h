/// \file
/// The plug-in that refuses requests that cannot meet their deadlines.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/admission/AdmittedWork.h"
#include "plugins/routing/CostModel.h"

namespace banyanpick {

/// Provides an AdmissionGate. Compares the deadlines of a request with the
/// predicted wait on this host and on the best engine, on arrival and while
/// the request waits.
class AdmissionPlugin : public Plugin,
                        public AdmissionGate,
                        public RequestObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &, Time, Actions &) override {}

  // AdmissionGate
  std::optional<NotRun> check(const Request &Req, Time Now) override;
  std::optional<NotRun> reconsider(const Request &Req, Time Now) override;

  // RequestObserver
  void admitted(const Request &Req, Time Now, Actions &Out) override;
  void dispatched(const Request &Req, const Attempt &SentAttempt, Time Now,
                  Actions &Out) override;
  void ended(const Request &Req, const FinalAnswer &Answer, Time Now,
             Actions &Out) override;

private:
  std::optional<NotRun> checkDeadlines(const Request &Req, Duration QueueWait,
                                       double Factor, Time Now);
  Duration predictQueueWait(const Request &Req, Time Now);
  Duration retryAfter(Duration Excess);

  CostModel *Cost = nullptr;
  Random *Rng = nullptr;
  double Margin = 1;
  Duration MinRetryAfter{};
  Duration MaxRetryAfter{};
  AdmittedWork Waiting;
};

} // namespace banyanpick
