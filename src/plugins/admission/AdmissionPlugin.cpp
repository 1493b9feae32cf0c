#include "plugins/admission/AdmissionPlugin.h"

#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

namespace {

Duration scaled(Duration Value, double Factor) {
  return fromSeconds(inSeconds(Value) * Factor);
}

} // namespace

void AdmissionPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Cost = &Context.services().get<CostModel>();
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
  return this->judge(Asked, this->waitHere(Asked, Now), this->Margin, Now);
}

std::optional<NotRun> AdmissionPlugin::reconsider(const Request &Asked,
                                                  Time Now) {
  if (Asked.Class.Target != TargetKind::Model)
    return std::nullopt;
  // What it waited is known now; only what is left has to fit.
  return this->judge(Asked, Duration(0), 1, Now);
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
                                             Duration WaitHere, double Factor,
                                             Time Now) {
  const std::optional<Prediction> Expected = this->Cost->predict(Asked, Now);
  if (!Expected &&
      this->Cost->shareOfCapacity(ModelId(Asked.Class.TargetName), Now) <= 0)
    return NotRun{RefusalReason::NoUpstream, this->comeBackAfter(Duration(0)),
                  "no engine that lives serves its model; ask again after the "
                  "time given"};
  if (!Expected)
    return std::nullopt;
  const Duration FirstToken = scaled(WaitHere + Expected->FirstToken, Factor);
  const Duration CompleteAnswer =
      scaled(WaitHere + Expected->CompleteAnswer, Factor);
  const Duration Excess = std::max(Now + FirstToken - Asked.FirstTokenBy,
                                   Now + CompleteAnswer - Asked.Deadline);
  if (Excess <= Duration(0))
    return std::nullopt;
  return NotRun{RefusalReason::Overloaded, this->comeBackAfter(Excess),
                "it can't end within its promise now; ask again after the time "
                "given"};
}

Duration AdmissionPlugin::waitHere(const Request &Asked, Time Now) {
  const ModelId Model(Asked.Class.TargetName);
  const auto Ahead =
      static_cast<double>(this->Waiting.ahead(Asked.Class.Urgency));
  const double Speed = this->Cost->shareOfCapacity(Model, Now) *
                       this->Cost->partLeft(Asked, Now);
  return fromSeconds(Ahead / std::max(Speed, 1.0));
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
      {In, "margin", SettingKind::Fraction, "1.5",
       "Factor on predicted durations before they are held against a promise.",
       0.1, 10},
      {In, "least_come_back", SettingKind::Span, "500ms",
       "Shortest come-back hint; hints are spread up to twice their base.", 1e3,
       60e6},
      {In, "most_come_back", SettingKind::Span, "30s",
       "Longest base of a come-back hint.", 1e3, 3600e6},
  };
}

const PluginRegistration Registration(
    {"admission", {"routing"}, settings, []() -> std::unique_ptr<Plugin> {
       return std::make_unique<AdmissionPlugin>();
     }});

} // namespace

} // namespace banyanpick
