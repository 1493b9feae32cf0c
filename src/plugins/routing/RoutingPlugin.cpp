#include "plugins/routing/RoutingPlugin.h"

#include "base/EventNumbers.h"
#include "kernel/PluginRegistry.h"
#include "plugins/routing/ApplicationChoice.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Time until the next selection if no engine can take a request now.
constexpr Duration RecheckInterval = milliseconds(20);

/// Engine priorities range from 0 to 255, urgencies from 0 to 9.
constexpr std::uint32_t PriorityPerUrgency = 20;

/// Fraction of the capacity that is left to other work under any load of urgent
/// work.
constexpr double MinRemainingShare = 0.1;

/// A single engine takes prompts up to this fraction of its memory.
constexpr double SingleEngineShare = 0.95;

} // namespace

void RoutingPlugin::initialize(PluginContext &Context) {
  Services &Registry = Context.services();
  this->Values = RoutingSettings::from(Context.settings());
  this->SelfZone = Context.self().Zone;
  this->Rng = &Context.random();
  this->Fleet = &Registry.get<FleetView>();
  this->Members = &Registry.get<MembershipView>();
  this->Baseline = findBaseline(this->Values.Policy);
  this->Predicted = std::make_unique<PredictedChoice>(
      this->Values, *this->Fleet, Registry.get<PrefixCacheView>(),
      this->Tracker, this->LongPrompts, this->SelfZone, *this->Rng);
  Registry.provide<UpstreamSelector>(*this);
  Registry.provide<CostModel>(*this);
  Registry.list<RequestObserver>().add(*this);
}

Selection RoutingPlugin::select(const Request &Req,
                                const SelectionLimits &Limits, Time Now,
                                Actions &Out) {
  if (Req.Class.Target == TargetKind::Application) {
    Selection Chosen = chooseApplication(*this->Fleet, Req, Limits,
                                         this->SelfZone, *this->Rng);
    if (const auto *Choice = std::get_if<Selected>(&Chosen))
      this->logChoice(Req, *Choice, {}, Out);
    return Chosen;
  }
  if (Limits.Isolated)
    this->Isolated.insert(Req.id());
  this->LongPrompts.update(ModelId(Req.Class.TargetName), *this->Fleet, Now);
  return this->selectEngine(this->makeDemand(Req, Limits, Now), Now, Out);
}

std::optional<Prediction> RoutingPlugin::predict(const Request &Req, Time Now) {
  this->LongPrompts.update(ModelId(Req.Class.TargetName), *this->Fleet, Now);
  const SelectionLimits NoLimits;
  const ChoiceDemand Demand = this->makeDemand(Req, NoLimits, Now);
  const auto Candidates = this->Predicted->candidates(Demand, Now);
  if (Candidates.empty())
    return std::nullopt;
  const EngineEstimate &Best = Candidates.front().Estimate;
  return Prediction{Best.FirstToken, Best.CompleteAnswer};
}

double RoutingPlugin::remainingShare(const Request &Req, Time Now) {
  const ModelId Model(Req.Class.TargetName);
  const double Share = this->shareOfCapacity(Model, Now);
  const double Above = this->Rates.rateAbove(Req.Class.Urgency, Now);
  return std::clamp(1 - Above / std::max(Share, 1.0), MinRemainingShare, 1.0);
}

double RoutingPlugin::shareOfCapacity(const ModelId &Model, Time Now) {
  return this->Share.hostShare(Model, *this->Fleet, *this->Members, Now);
}

std::uint32_t RoutingPlugin::priority(const Request &Req) const {
  // Engines serve equal urgency in order of arrival. A priority that rises with
  // the waiting time would let later work overtake earlier work.
  if (!this->Values.Parts.Priorities)
    return 0;
  return PriorityPerUrgency * Req.Class.Urgency;
}

void RoutingPlugin::admitted(const Request &Req, Time Now, Actions &) {
  const std::uint64_t Tokens = Req.Head.PromptTokens;
  if (Req.Class.Target != TargetKind::Model)
    return;
  this->LongPrompts.addDemand(Tokens >= this->Values.LongPrompt, Tokens, Now);
  this->Rates.addDemand(Req.Class.Urgency, Tokens, Now);
}

void RoutingPlugin::dispatched(const Request &Req, const Attempt &SentAttempt,
                               Time Now, Actions &) {
  if (Req.Class.Target != TargetKind::Model)
    return;
  SentWork Work;
  Work.Attempt = SentAttempt.Id;
  Work.SentAt = Now;
  Work.Priority = SentAttempt.Priority;
  Work.PrefillTokens = SentAttempt.UncachedTokens;
  Work.MemoryTokens =
      SentAttempt.Group.empty() ? Req.Head.PromptTokens + Req.OutputTokens : 0;
  Work.IsLong = SentAttempt.UncachedTokens >= this->Values.LongPrompt;
  Work.IsIsolated = this->Isolated.contains(Req.id());
  this->Tracker.sent(SentAttempt.Upstream, Work);
}

void RoutingPlugin::firstToken(const Request &, const Attempt &SentAttempt,
                               Time, Actions &) {
  this->Tracker.firstToken(SentAttempt.Upstream, SentAttempt.Id);
}

void RoutingPlugin::attemptEnded(const Request &, const Attempt &SentAttempt,
                                 const AttemptOutcome &, Time, Actions &) {
  this->Tracker.ended(SentAttempt.Upstream, SentAttempt.Id);
}

void RoutingPlugin::ended(const Request &Req, const FinalAnswer &, Time,
                          Actions &) {
  this->Isolated.erase(Req.id());
}

ChoiceDemand RoutingPlugin::makeDemand(const Request &Req,
                                       const SelectionLimits &Limits,
                                       Time Now) {
  return {Req,
          Limits,
          this->priority(Req),
          Req.Head.PromptTokens + Req.OutputTokens,
          Req.Head.PromptTokens >= this->Values.LongPrompt,
          this->remainingShare(Req, Now)};
}

Selection RoutingPlugin::selectEngine(const ChoiceDemand &Demand, Time Now,
                                      Actions &Out) {
  const ModelId Model(Demand.Req.Class.TargetName);
  const auto Candidates = this->Predicted->candidates(Demand, Now);
  if (Candidates.empty())
    return NothingFits{this->Fleet->enginesWith(Model).empty(),
                       RecheckInterval};
  std::vector<std::uint32_t> Positions;
  Positions.reserve(Candidates.size());
  for (const Candidate &Item : Candidates)
    Positions.push_back(Item.Position);

  Selection Result = NothingFits{false, RecheckInterval};
  if (this->exceedsOneEngine(Demand, Positions))
    Result = this->selectGroup(Demand, Now);
  else if (this->Baseline)
    Result =
        this->selectByBaseline(Demand, this->Fleet->enginesWith(Model), Now);
  else if (!this->Predicted->shouldWait(Candidates.front(), Demand, Now))
    Result = this->makeSelected(Candidates.front(), Demand);
  if (const auto *Choice = std::get_if<Selected>(&Result))
    this->logChoice(Demand.Req, *Choice, Candidates, Out);
  return Result;
}

Selection
RoutingPlugin::selectByBaseline(const ChoiceDemand &Demand,
                                std::span<const std::uint32_t> Engines,
                                Time Now) {
  std::vector<std::uint32_t> Usable;
  for (const std::uint32_t Position : Engines)
    if (this->Predicted->isUsable(Position, Demand))
      Usable.push_back(Position);
  if (Usable.empty())
    return NothingFits{false, RecheckInterval};
  const std::uint32_t Position =
      choose(*this->Baseline, this->Fleet->upstreams(), Usable, *this->Rng);
  Selected Choice = this->makeSelected(
      this->Predicted->estimate(Position, Demand, Now), Demand);
  Choice.Priority = 0;
  return Choice;
}

Selection RoutingPlugin::selectGroup(const ChoiceDemand &Demand, Time Now) {
  std::uint64_t TokensEach = 0;
  const auto Engines = this->Predicted->chooseGroup(Demand, TokensEach);
  if (Engines.empty())
    return NothingFits{false, RecheckInterval};
  Candidate Best = this->Predicted->estimate(Engines.front(), Demand, Now);
  for (const std::uint32_t Position : Engines) {
    const Candidate Other = this->Predicted->estimate(Position, Demand, Now);
    if (Other.Estimate.Score < Best.Estimate.Score)
      Best = Other;
  }
  Selected Choice = this->makeSelected(Best, Demand);
  Choice.GroupTokensEach = TokensEach;
  for (const std::uint32_t Position : Engines)
    Choice.Group.push_back(this->Fleet->upstreams()[Position].Listing.Id);
  return Choice;
}

Selected RoutingPlugin::makeSelected(const Candidate &Best,
                                     const ChoiceDemand &Demand) const {
  Selected Choice;
  Choice.Upstream = this->Fleet->upstreams()[Best.Position].Listing.Id;
  Choice.Priority = Demand.Priority;
  Choice.UncachedTokens = Best.UncachedTokens;
  Choice.PredictedFirstToken = Best.Estimate.FirstToken;
  return Choice;
}

bool RoutingPlugin::exceedsOneEngine(
    const ChoiceDemand &Demand, std::span<const std::uint32_t> Usable) const {
  std::uint64_t MaxMemory = 0;
  for (const std::uint32_t Position : Usable)
    MaxMemory = std::max(
        MaxMemory, this->Fleet->upstreams()[Position].Report.MemoryTokens);
  return static_cast<double>(Demand.MemoryTokens) >
         SingleEngineShare * static_cast<double>(MaxMemory);
}

void RoutingPlugin::logChoice(const Request &Req, const Selected &Choice,
                              std::span<const Candidate> Candidates,
                              Actions &Out) const {
  std::string Scores;
  for (const Candidate &Item : Candidates) {
    Scores += this->Fleet->upstreams()[Item.Position].Listing.Id.Value;
    Scores += ':';
    Scores += std::to_string(Item.Estimate.FirstToken.count());
    Scores += ' ';
  }
  if (!Scores.empty())
    Scores.pop_back();
  Out.log(logEvent(events::RequestRouted)
              .with("request", Req.id().Value)
              .with("team", Req.Team.Value)
              .with("upstream", Choice.Upstream.Value)
              .with("priority", Choice.Priority)
              .with("uncached_tokens", Choice.UncachedTokens)
              .with("group", Choice.Group.size())
              .with("first_token_us", Choice.PredictedFirstToken.count())
              .with("candidates_us", Scores)
              .build());
}

namespace {

const PluginRegistration
    Registration({"routing",
                  {"fleet", "membership", "prefixcache"},
                  RoutingSettings::declarations,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<RoutingPlugin>();
                  }});

} // namespace

} // namespace banyanpick
