/// \file
/// The plug-in that refuses at once what can't end within its promise.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/admission/AdmittedWork.h"
#include "plugins/routing/CostModel.h"

namespace banyanpick {

/// Provides an AdmissionGate. It compares the promise with the predicted wait
/// here and on the best engine, when a request arrives and while it waits.
class AdmissionPlugin : public Plugin,
                        public AdmissionGate,
                        public RequestObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &, Time, Actions &) override {}

  // AdmissionGate
  std::optional<NotRun> check(const Request &Asked, Time Now) override;
  std::optional<NotRun> reconsider(const Request &Asked, Time Now) override;

  // RequestObserver
  void admitted(const Request &Asked, Time Now, Actions &Out) override;
  void dispatched(const Request &Asked, const Attempt &Try, Time Now,
                  Actions &Out) override;
  void ended(const Request &Asked, const FinalAnswer &Answer, Time Now,
             Actions &Out) override;

private:
  std::optional<NotRun> judge(const Request &Asked, Duration WaitHere,
                              double Factor, Time Now);
  Duration waitHere(const Request &Asked, Time Now);
  Duration comeBackAfter(Duration Excess);

  CostModel *Cost = nullptr;
  Random *Numbers = nullptr;
  double Margin = 1;
  Duration LeastComeBack{};
  Duration MostComeBack{};
  AdmittedWork Waiting;
};

} // namespace banyanpick
