/// \file
/// The plug-in that chooses the upstream of each attempt.
#pragma once

#include "kernel/Plugin.h"
#include "plugins/routing/BaselinePolicies.h"
#include "plugins/routing/CapacityShare.h"
#include "plugins/routing/CostModel.h"
#include "plugins/routing/DemandRates.h"
#include "plugins/routing/PredictedChoice.h"

#include <memory>
#include <set>

namespace banyanpick {

/// Provides UpstreamSelector and CostModel.
class RoutingPlugin : public Plugin,
                      public UpstreamSelector,
                      public CostModel,
                      public RequestObserver {
public:
  void initialize(PluginContext &Context) override;
  void handle(const Event &, Time, Actions &) override {}

  // UpstreamSelector
  Selection select(const Request &Req, const SelectionLimits &Limits, Time Now,
                   Actions &Out) override;

  // CostModel
  std::optional<Prediction> predict(const Request &Req, Time Now) override;
  double remainingShare(const Request &Req, Time Now) override;
  double shareOfCapacity(const ModelId &Model, Time Now) override;
  std::uint32_t priority(const Request &Req) const override;

  // RequestObserver
  void admitted(const Request &Req, Time Now, Actions &Out) override;
  void dispatched(const Request &Req, const Attempt &SentAttempt, Time Now,
                  Actions &Out) override;
  void firstToken(const Request &Req, const Attempt &SentAttempt, Time Now,
                  Actions &Out) override;
  void attemptEnded(const Request &Req, const Attempt &SentAttempt,
                    const AttemptOutcome &Outcome, Time Now,
                    Actions &Out) override;
  void ended(const Request &Req, const FinalAnswer &Answer, Time Now,
             Actions &Out) override;

private:
  ChoiceDemand makeDemand(const Request &Req, const SelectionLimits &Limits,
                          Time Now);
  Selection selectEngine(const ChoiceDemand &Demand, Time Now, Actions &Out);
  Selection selectByBaseline(const ChoiceDemand &Demand,
                             std::span<const std::uint32_t> Usable, Time Now);
  Selection selectGroup(const ChoiceDemand &Demand, Time Now);
  Selected makeSelected(const Candidate &Best,
                        const ChoiceDemand &Demand) const;
  bool exceedsOneEngine(const ChoiceDemand &Demand,
                        std::span<const std::uint32_t> Usable) const;
  void logChoice(const Request &Req, const Selected &Choice,
                 std::span<const Candidate> Candidates, Actions &Out) const;

  RoutingSettings Values;
  ZoneId SelfZone;
  Random *Rng = nullptr;
  const FleetView *Fleet = nullptr;
  std::optional<BaselinePolicy> Baseline;
  const MembershipView *Members = nullptr;
  SentWorkTracker Tracker;
  DemandRates Rates;
  CapacityShare Share;
  LongPromptPool LongPrompts;
  std::unique_ptr<PredictedChoice> Predicted;
  std::set<RequestId> Isolated; ///< Isolated requests, until they end.
};

} // namespace banyanpick
