#include "plugins/routing/RoutingSettings.h"

namespace banyanpick {

namespace {

constexpr std::string_view Section = "routing";

/// The name of a part in the setting `without`, and its switch.
struct PartName {
  std::string_view Name;
  bool RoutingParts::*Switch;
};

constexpr PartName PartNames[] = {
    {"priorities", &RoutingParts::Priorities},
    {"long-pool", &RoutingParts::LongPool},
    {"zones", &RoutingParts::Zones},
    {"sampling", &RoutingParts::Sampling},
    {"own-work", &RoutingParts::OwnWork},
    {"peer-work", &RoutingParts::PeerWork},
    {"report-age", &RoutingParts::ReportAge},
    {"queue-bound", &RoutingParts::QueueBound},
    {"cache", &RoutingParts::Cache},
};

std::vector<std::string> partChoices() {
  std::vector<std::string> Result{"nothing"};
  for (const PartName &Part : PartNames)
    Result.emplace_back(Part.Name);
  return Result;
}

RoutingParts partsWithout(std::string_view Excluded) {
  RoutingParts Result;
  for (const PartName &Part : PartNames)
    if (Part.Name == Excluded)
      Result.*Part.Switch = false;
  return Result;
}

std::vector<SettingDeclaration> choices() {
  const std::string SectionName(Section);
  return {
      {SectionName,
       "policy",
       SettingKind::Choice,
       "predicted",
       "How engines are chosen; all but `predicted` serve comparison.",
       0,
       0,
       {"predicted", "random", "round-robin", "least-outstanding",
        "least-tokens"}},
      {SectionName, "without", SettingKind::Choice, "nothing",
       "A part of the prediction to leave out, for measurements.", 0, 0,
       partChoices()},
  };
}

std::vector<SettingDeclaration> bounds() {
  const std::string SectionName(Section);
  return {
      {SectionName, "own_candidates", SettingKind::Whole, "4",
       "Engines of the own zone that are compared for one request.", 1, 64},
      {SectionName, "other_candidates", SettingKind::Whole, "2",
       "Engines of other zones that are compared for one request.", 0, 64},
      {SectionName, "cross_zone_delay", SettingKind::Span, "4ms",
       "Time an engine in another zone must be faster by to be chosen.", 0,
       10e6},
      {SectionName, "engine_queue", SettingKind::Span, "300ms",
       "Prefill ahead of a request on an engine beyond which it waits here.",
       1e3, 60e6},
      {SectionName, "long_queue", SettingKind::Span, "2s",
       "The same bound for long prompts.", 1e3, 600e6},
      {SectionName, "long_prompt", SettingKind::Whole, "50000",
       "Uncached prompt tokens from which a request counts as long.", 1024,
       1e9},
      {SectionName, "step_delay", SettingKind::Span, "20ms",
       "Expected rest of a running step when an engine prefills work of lower "
       "priority.",
       0, 10e6},
      {SectionName, "memory_turnover", SettingKind::Span, "10s",
       "Time in which an engine's occupied memory becomes free on average.",
       1e3, 600e6},
      {SectionName, "delay_weight", SettingKind::Fraction, "1",
       "Weight of the delay that a request causes to work of lower priority on "
       "an engine against its own time to the first token.",
       0, 100},
      {SectionName, "most_group_engines", SettingKind::Whole, "6",
       "Engines that may hold memory together for one prompt.", 2, 64},
  };
}

} // namespace

std::vector<SettingDeclaration> RoutingSettings::declarations() {
  std::vector<SettingDeclaration> Result = choices();
  const std::vector<SettingDeclaration> Bounds = bounds();
  Result.insert(Result.end(), Bounds.begin(), Bounds.end());
  return Result;
}

RoutingSettings RoutingSettings::from(const Settings &Values) {
  RoutingSettings Result;
  Result.Policy = Values.text(Section, "policy");
  Result.Parts = partsWithout(Values.text(Section, "without"));
  Result.OwnCandidates = Values.whole(Section, "own_candidates");
  Result.OtherCandidates = Values.whole(Section, "other_candidates");
  Result.CrossZoneDelay = Values.span(Section, "cross_zone_delay");
  Result.EngineQueue = Values.span(Section, "engine_queue");
  Result.LongQueue = Values.span(Section, "long_queue");
  Result.LongPrompt = Values.whole(Section, "long_prompt");
  Result.StepDelay = Values.span(Section, "step_delay");
  Result.MemoryTurnover = Values.span(Section, "memory_turnover");
  Result.DelayWeight = Values.fraction(Section, "delay_weight");
  Result.MaxGroupEngines = Values.whole(Section, "most_group_engines");
  return Result;
}

} // namespace banyanpick
