#include "plugins/routing/RoutingPlugin.h"

#include "base/EventNumbers.h"
#include "kernel/PluginRegistry.h"
#include "plugins/routing/ApplicationChoice.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// When to look again for an engine that is not behind.
constexpr Duration LookAgain = milliseconds(20);

/// Engine priorities reach from 0 to 255, urgencies from 0 to 9.
constexpr std::uint32_t PriorityPerUrgency = 20;

/// Even beside a flood of urgent work some is left to the rest.
constexpr double LeastPartLeft = 0.1;

/// A single engine takes prompts up to this part of its memory.
constexpr double SingleEngineShare = 0.95;

} // namespace

void RoutingPlugin::initialize(PluginContext &Context) {
  Services &Offered = Context.services();
  this->Values = RoutingSettings::from(Context.settings());
  this->SelfZone = Context.self().Zone;
  this->Numbers = &Context.random();
  this->Fleet = &Offered.get<FleetView>();
  this->Members = &Offered.get<MembershipView>();
  this->Baseline = baselineNamed(this->Values.Policy);
  this->Predicted = std::make_unique<PredictedChoice>(
      this->Values, *this->Fleet, Offered.get<PrefixCacheView>(), this->Book,
      this->Long, this->SelfZone, *this->Numbers);
  Offered.provide<UpstreamSelector>(*this);
  Offered.provide<CostModel>(*this);
  Offered.list<RequestObserver>().add(*this);
}

Selection RoutingPlugin::select(const Request &Wanted,
                                const SelectionLimits &Limits, Time Now,
                                Actions &Out) {
  if (Wanted.Class.Target == TargetKind::Application) {
    Selection Chosen = chooseApplication(*this->Fleet, Wanted, Limits,
                                         this->SelfZone, *this->Numbers);
    if (const auto *Choice = std::get_if<Selected>(&Chosen))
      this->logChoice(Wanted, *Choice, {}, Out);
    return Chosen;
  }
  if (Limits.Isolated)
    this->Isolated.insert(Wanted.id());
  this->Long.judge(ModelId(Wanted.Class.TargetName), *this->Fleet, Now);
  return this->selectEngine(this->demandOf(Wanted, Limits, Now), Now, Out);
}

std::optional<Prediction> RoutingPlugin::predict(const Request &Asked,
                                                 Time Now) {
  this->Long.judge(ModelId(Asked.Class.TargetName), *this->Fleet, Now);
  const SelectionLimits NoLimits;
  const ChoiceDemand Demand = this->demandOf(Asked, NoLimits, Now);
  const auto Compared = this->Predicted->candidates(Demand, Now);
  if (Compared.empty())
    return std::nullopt;
  const EngineEstimate &Best = Compared.front().Estimate;
  return Prediction{Best.FirstToken, Best.CompleteAnswer};
}

double RoutingPlugin::partLeft(const Request &Asked, Time Now) {
  const ModelId Model(Asked.Class.TargetName);
  const double Share = this->shareOfCapacity(Model, Now);
  const double Above = this->Rates.above(Asked.Class.Urgency, Now);
  return std::clamp(1 - Above / std::max(Share, 1.0), LeastPartLeft, 1.0);
}

double RoutingPlugin::shareOfCapacity(const ModelId &Model, Time Now) {
  return this->Share.of(Model, *this->Fleet, *this->Members, Now);
}

std::uint32_t RoutingPlugin::priority(const Request &Asked) const {
  // Equal urgency is served in order of arrival on the engine: whatever rises
  // there with time spent waiting lets later work overtake earlier work.
  if (!this->Values.Parts.Priorities)
    return 0;
  return PriorityPerUrgency * Asked.Class.Urgency;
}

void RoutingPlugin::admitted(const Request &Asked, Time Now, Actions &) {
  const std::uint64_t Tokens = Asked.Head.PromptTokens;
  if (Asked.Class.Target != TargetKind::Model)
    return;
  this->Long.arrived(Tokens >= this->Values.LongPrompt, Tokens, Now);
  this->Rates.arrived(Asked.Class.Urgency, Tokens, Now);
}

void RoutingPlugin::dispatched(const Request &Asked, const Attempt &Try,
                               Time Now, Actions &) {
  if (Asked.Class.Target != TargetKind::Model)
    return;
  SentWork Work;
  Work.Attempt = Try.Id;
  Work.SentAt = Now;
  Work.Priority = Try.Priority;
  Work.PrefillTokens = Try.UncachedTokens;
  Work.MemoryTokens =
      Try.Group.empty() ? Asked.Head.PromptTokens + Asked.OutputTokens : 0;
  Work.IsLong = Try.UncachedTokens >= this->Values.LongPrompt;
  Work.IsIsolated = this->Isolated.contains(Asked.id());
  this->Book.sent(Try.Upstream, Work);
}

void RoutingPlugin::firstToken(const Request &, const Attempt &Try, Time,
                               Actions &) {
  this->Book.firstToken(Try.Upstream, Try.Id);
}

void RoutingPlugin::attemptEnded(const Request &, const Attempt &Try,
                                 const AttemptOutcome &, Time, Actions &) {
  this->Book.ended(Try.Upstream, Try.Id);
}

void RoutingPlugin::ended(const Request &Asked, const FinalAnswer &, Time,
                          Actions &) {
  this->Isolated.erase(Asked.id());
}

ChoiceDemand RoutingPlugin::demandOf(const Request &Wanted,
                                     const SelectionLimits &Limits, Time Now) {
  return {Wanted,
          Limits,
          this->priority(Wanted),
          Wanted.Head.PromptTokens + Wanted.OutputTokens,
          Wanted.Head.PromptTokens >= this->Values.LongPrompt,
          this->partLeft(Wanted, Now)};
}

Selection RoutingPlugin::selectEngine(const ChoiceDemand &Demand, Time Now,
                                      Actions &Out) {
  const ModelId Model(Demand.Wanted.Class.TargetName);
  const auto Compared = this->Predicted->candidates(Demand, Now);
  if (Compared.empty())
    return NothingFits{this->Fleet->enginesWith(Model).empty(), LookAgain};
  std::vector<std::uint32_t> Positions;
  Positions.reserve(Compared.size());
  for (const Candidate &Each : Compared)
    Positions.push_back(Each.Position);

  Selection Result = NothingFits{false, LookAgain};
  if (this->exceedsOneEngine(Demand, Positions))
    Result = this->selectGroup(Demand, Now);
  else if (this->Baseline)
    Result =
        this->selectByBaseline(Demand, this->Fleet->enginesWith(Model), Now);
  else if (!this->Predicted->isBehind(Compared.front(), Demand, Now))
    Result = this->chosen(Compared.front(), Demand);
  if (const auto *Choice = std::get_if<Selected>(&Result))
    this->logChoice(Demand.Wanted, *Choice, Compared, Out);
  return Result;
}

Selection
RoutingPlugin::selectByBaseline(const ChoiceDemand &Demand,
                                std::span<const std::uint32_t> Engines,
                                Time Now) {
  std::vector<std::uint32_t> Usable;
  for (const std::uint32_t Each : Engines)
    if (this->Predicted->isUsable(Each, Demand))
      Usable.push_back(Each);
  if (Usable.empty())
    return NothingFits{false, LookAgain};
  const std::uint32_t Taken =
      choose(*this->Baseline, this->Fleet->upstreams(), Usable, *this->Numbers);
  Selected Choice =
      this->chosen(this->Predicted->estimate(Taken, Demand, Now), Demand);
  Choice.Priority = 0;
  return Choice;
}

Selection RoutingPlugin::selectGroup(const ChoiceDemand &Demand, Time Now) {
  std::uint64_t TokensEach = 0;
  const auto Engines = this->Predicted->group(Demand, TokensEach);
  if (Engines.empty())
    return NothingFits{false, LookAgain};
  Candidate Best = this->Predicted->estimate(Engines.front(), Demand, Now);
  for (const std::uint32_t Each : Engines) {
    const Candidate Other = this->Predicted->estimate(Each, Demand, Now);
    if (Other.Estimate.Score < Best.Estimate.Score)
      Best = Other;
  }
  Selected Choice = this->chosen(Best, Demand);
  Choice.GroupTokensEach = TokensEach;
  for (const std::uint32_t Each : Engines)
    Choice.Group.push_back(this->Fleet->upstreams()[Each].Listing.Id);
  return Choice;
}

Selected RoutingPlugin::chosen(const Candidate &Best,
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
  std::uint64_t Greatest = 0;
  for (const std::uint32_t Each : Usable)
    Greatest =
        std::max(Greatest, this->Fleet->upstreams()[Each].Report.MemoryTokens);
  return static_cast<double>(Demand.MemoryTokens) >
         SingleEngineShare * static_cast<double>(Greatest);
}

void RoutingPlugin::logChoice(const Request &Wanted, const Selected &Choice,
                              std::span<const Candidate> Compared,
                              Actions &Out) const {
  std::string Scores;
  for (const Candidate &Each : Compared) {
    Scores += this->Fleet->upstreams()[Each.Position].Listing.Id.Value;
    Scores += ':';
    Scores += std::to_string(Each.Estimate.FirstToken.count());
    Scores += ' ';
  }
  if (!Scores.empty())
    Scores.pop_back();
  Out.log(logEvent(events::RequestRouted)
              .with("request", Wanted.id().Value)
              .with("team", Wanted.Team.Value)
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
