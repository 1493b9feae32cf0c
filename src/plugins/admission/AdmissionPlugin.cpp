#include "plugins/admission/AdmissionPlugin.h"

#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// How long the capacity of the fleet is taken as unchanged.
constexpr Duration ShareLifetime = milliseconds(100);

Duration scaled(Duration Value, double Factor) {
  return fromSeconds(inSeconds(Value) * Factor);
}

} // namespace

void AdmissionPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Cost = &Context.services().get<CostModel>();
  this->Members = &Context.services().get<MembershipView>();
  this->Numbers = &Context.random();
  this->Margin = Values.fraction("admission", "margin");
  this->LeastComeBack = Values.span("admission", "least_come_back");
  this->MostComeBack = Values.span("admission", "most_come_back");
  Context.services().list<AdmissionGate>().add(*this);
  Context.services().list<RequestObserver>().add(*this);
}

std::optional<NotRun> AdmissionPlugin::check(const Request &Asked, Time Now) {
  if (Asked.Class.Target != TargetKind::Model)
    return std::nullopt;
  return this->judge(Asked, this->waitHere(Asked, Now), Now);
}

std::optional<NotRun> AdmissionPlugin::reconsider(const Request &Asked,
                                                  Time Now) {
  if (Asked.Class.Target != TargetKind::Model)
    return std::nullopt;
  return this->judge(Asked, Duration(0), Now);
}

void AdmissionPlugin::admitted(const Request &Asked, Time, Actions &) {
  if (Asked.Class.Target == TargetKind::Model)
    this->Waiting.add(Asked.id(), Asked.Class.Urgency, Asked.Head.PromptTokens);
}

void AdmissionPlugin::dispatched(const Request &Asked, const Attempt &, Time,
                                 Actions &) {
  this->Waiting.remove(Asked.id());
}

void AdmissionPlugin::ended(const Request &Asked, const FinalAnswer &, Time,
                            Actions &) {
  this->Waiting.remove(Asked.id());
}

std::optional<NotRun> AdmissionPlugin::judge(const Request &Asked,
                                             Duration WaitHere, Time Now) {
  const std::optional<Prediction> Expected = this->Cost->predict(Asked, Now);
  if (!Expected &&
      this->Cost->prefillCapacity(ModelId(Asked.Class.TargetName)) <= 0)
    return NotRun{RefusalReason::NoUpstream, this->comeBackAfter(Duration(0)),
                  "no engine that lives serves its model; ask again after the "
                  "time given"};
  if (!Expected)
    return std::nullopt;
  const Duration FirstToken =
      WaitHere + scaled(Expected->FirstToken, this->Margin);
  const Duration WholeAnswer =
      WaitHere + scaled(Expected->WholeAnswer, this->Margin);
  const Duration Excess = std::max(Now + FirstToken - Asked.FirstTokenBy,
                                   Now + WholeAnswer - Asked.Deadline);
  if (Excess <= Duration(0))
    return std::nullopt;
  return NotRun{RefusalReason::Overloaded, this->comeBackAfter(Excess),
                "it can't end within its promise now; ask again after the time "
                "given"};
}

Duration AdmissionPlugin::waitHere(const Request &Asked, Time Now) {
  const ModelId Model(Asked.Class.TargetName);
  if (Now >= this->ShareAt + ShareLifetime || Model != this->ShareModel) {
    this->ShareAt = Now;
    this->ShareModel = Model;
    const double Hosts =
        1 + static_cast<double>(this->Members->livePeers().size());
    this->ShareOfCapacity = this->Cost->prefillCapacity(Model) / Hosts;
  }
  const auto Ahead =
      static_cast<double>(this->Waiting.ahead(Asked.Class.Urgency));
  return fromSeconds(Ahead / std::max(this->ShareOfCapacity, 1.0));
}

Duration AdmissionPlugin::comeBackAfter(Duration Excess) {
  // Spread up to twice the excess, so that callers do not return in step.
  const Duration Base =
      std::clamp(Excess, this->LeastComeBack, this->MostComeBack);
  return scaled(Base, 1 + this->Numbers->fraction());
}

namespace {

std::vector<SettingDeclaration> settings() {
  const std::string In = "admission";
  return {
      {In, "margin", SettingKind::Fraction, "1.2",
       "Factor on predicted durations before they are held against a promise.",
       0.1, 10},
      {In, "least_come_back", SettingKind::Span, "500ms",
       "Shortest come-back hint; hints are spread up to twice their base.", 1e3,
       60e6},
      {In, "most_come_back", SettingKind::Span, "30s",
       "Longest base of a come-back hint.", 1e3, 3600e6},
  };
}

const PluginRegistration
    Registration({"admission",
                  {"membership", "routing"},
                  settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<AdmissionPlugin>();
                  }});

} // namespace

} // namespace banyanpick
