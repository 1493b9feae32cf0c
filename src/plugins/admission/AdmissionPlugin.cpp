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
  this->Rng = &Context.random();
  this->Margin = Values.fraction("admission", "margin");
  this->MinRetryAfter = Values.span("admission", "least_come_back");
  this->MaxRetryAfter = Values.span("admission", "most_come_back");
  Context.services().list<AdmissionGate>().add(*this);
  Context.services().list<RequestObserver>().add(*this);
}

std::optional<NotRun> AdmissionPlugin::check(const Request &Req, Time Now) {
  if (Req.Class.Target != TargetKind::Model)
    return std::nullopt;
  return this->checkDeadlines(Req, this->predictQueueWait(Req, Now),
                              this->Margin, Now);
}

std::optional<NotRun> AdmissionPlugin::reconsider(const Request &Req,
                                                  Time Now) {
  if (Req.Class.Target != TargetKind::Model)
    return std::nullopt;
  // The time already waited is part of Now, so only the remaining time counts.
  return this->checkDeadlines(Req, Duration(0), 1, Now);
}

void AdmissionPlugin::admitted(const Request &Req, Time, Actions &) {
  if (Req.Class.Target == TargetKind::Model)
    this->Waiting.add(Req.id(), Req.Class.Urgency, Req.Head.PromptTokens);
}

void AdmissionPlugin::dispatched(const Request &Req, const Attempt &, Time,
                                 Actions &) {
  this->Waiting.remove(Req.id());
}

void AdmissionPlugin::ended(const Request &Req, const FinalAnswer &, Time,
                            Actions &) {
  this->Waiting.remove(Req.id());
}

std::optional<NotRun> AdmissionPlugin::checkDeadlines(const Request &Req,
                                                      Duration QueueWait,
                                                      double Factor, Time Now) {
  const std::optional<Prediction> Expected = this->Cost->predict(Req, Now);
  if (!Expected &&
      this->Cost->shareOfCapacity(ModelId(Req.Class.TargetName), Now) <= 0)
    return NotRun{RefusalReason::NoUpstream, this->retryAfter(Duration(0)),
                  "no engine that lives serves its model; ask again after the "
                  "time given"};
  if (!Expected)
    return std::nullopt;
  const Duration FirstToken = scaled(QueueWait + Expected->FirstToken, Factor);
  const Duration CompleteAnswer =
      scaled(QueueWait + Expected->CompleteAnswer, Factor);
  const Duration Excess = std::max(Now + FirstToken - Req.FirstTokenBy,
                                   Now + CompleteAnswer - Req.Deadline);
  if (Excess <= Duration(0))
    return std::nullopt;
  return NotRun{RefusalReason::Overloaded, this->retryAfter(Excess),
                "it can't end within its promise now; ask again after the time "
                "given"};
}

Duration AdmissionPlugin::predictQueueWait(const Request &Req, Time Now) {
  const ModelId Model(Req.Class.TargetName);
  const auto TokensAhead =
      static_cast<double>(this->Waiting.ahead(Req.Class.Urgency));
  const double Speed = this->Cost->shareOfCapacity(Model, Now) *
                       this->Cost->remainingShare(Req, Now);
  return fromSeconds(TokensAhead / std::max(Speed, 1.0));
}

Duration AdmissionPlugin::retryAfter(Duration Excess) {
  // Adds random jitter of up to the base delay, so that callers do not retry
  // at the same time.
  const Duration Base =
      std::clamp(Excess, this->MinRetryAfter, this->MaxRetryAfter);
  return scaled(Base, 1 + this->Rng->fraction());
}

namespace {

std::vector<SettingDeclaration> settings() {
  const std::string Section = "admission";
  return {
      {Section, "margin", SettingKind::Fraction, "1.5",
       "Factor on predicted durations before they are held against a promise.",
       0.1, 10},
      {Section, "least_come_back", SettingKind::Span, "500ms",
       "Shortest come-back hint; hints are spread up to twice their base.", 1e3,
       60e6},
      {Section, "most_come_back", SettingKind::Span, "30s",
       "Longest base of a come-back hint.", 1e3, 3600e6},
  };
}

const PluginRegistration Registration(
    {"admission", {"routing"}, settings, []() -> std::unique_ptr<Plugin> {
       return std::make_unique<AdmissionPlugin>();
     }});

} // namespace

} // namespace banyanpick
