#include "plugins/engineload/EngineLoadPlugin.h"

namespace banyanpick {

PlacementWeights placementWeights(const Settings &Values) {
  const std::string_view In = "placement";
  PlacementWeights Result;
  Result.PositionMs = Values.fraction(In, "position_ms");
  Result.FrontRunning = Values.fraction(In, "front_running");
  Result.LongRoom = Values.fraction(In, "long_room");
  Result.RunningMs = Values.fraction(In, "running_ms");
  Result.CrowdedMs = Values.fraction(In, "crowded_ms");
  Result.EasyRunning =
      static_cast<std::uint32_t>(Values.whole(In, "easy_running"));
  Result.MostRunning =
      static_cast<std::uint32_t>(Values.whole(In, "most_running"));
  Result.FullMs = Values.fraction(In, "full_ms");
  Result.SwiftPartMs = Values.fraction(In, "swift_part_ms");
  Result.PauseMs = Values.fraction(In, "pause_ms");
  Result.PauseCostMs = Values.fraction(In, "pause_cost_ms");
  Result.LongPauseMs = Values.fraction(In, "long_pause_ms");
  Result.LongestPartMs = Values.fraction(In, "longest_part_ms");
  Result.BudgetShare = Values.fraction(In, "budget_share");
  Result.MostHeldUp =
      static_cast<std::uint32_t>(Values.whole(In, "most_held_up"));
  Result.MostHelpers = Values.whole(In, "most_helpers");
  return Result;
}

namespace {

/// How swift prompts are spread.
std::vector<SettingDeclaration> swiftSettings() {
  constexpr auto Fraction = SettingKind::Fraction;
  const std::string Place = "placement";
  return {
      {Place, "position_ms", Fraction, "40",
       "How much sooner (milliseconds) a swift prompt's first token must be on "
       "an engine one place behind the front; those behind are for long ones.",
       0, 1000},
      {Place, "front_running", Fraction, "6",
       "Swift requests on each engine of the front; with more the front grows.",
       1, 1000},
      {Place, "long_room", Fraction, "1.3",
       "Engines kept clear for long prompts, against those that they keep "
       "busy.",
       0, 10},
      {Place, "demand_memory", SettingKind::Span, "3s",
       "How fast the front follows the demand for long prompts.", 100e3, 60e6},
      {Place, "demand_most_ms", Fraction, "6000",
       "What one long prompt counts in that demand, at most (milliseconds).", 0,
       1e6},
      {Place, "running_ms", Fraction, "2",
       "What a request that runs on an engine counts (milliseconds) for one "
       "more, up to easy_running,",
       0, 1000},
      {Place, "crowded_ms", Fraction, "15",
       "and for each beyond: at twelve and more a pass takes so much longer "
       "that pauses show.",
       0, 1000},
      {Place, "easy_running", SettingKind::Whole, "8",
       "Requests on one engine that hardly slow each other.", 0, 1000},
      {Place, "most_running", SettingKind::Whole, "15",
       "An engine with so many counts as full: its batch holds one more.", 1,
       1000},
  };
}

/// How longer prompts are shared, and the bounds for both.
std::vector<SettingDeclaration> longSettings() {
  constexpr auto Fraction = SettingKind::Fraction;
  const std::string Place = "placement";
  return {
      {Place, "full_ms", Fraction, "1000",
       "What a full engine, or one short of memory, counts (milliseconds).", 0,
       100000},
      {Place, "swift_part_ms", Fraction, "60",
       "Short and middle prompts that take longer to read (milliseconds) are "
       "shared with clear engines.",
       1, 100000},
      {Place, "pause_ms", Fraction, "220",
       "A pass that takes longer (milliseconds) makes short answers pause too "
       "long, at 250 ms.",
       1, 100000},
      {Place, "pause_cost_ms", Fraction, "25",
       "What each request held up by such a pass counts (milliseconds).", 0,
       100000},
      {Place, "long_pause_ms", Fraction, "600",
       "A pass that takes longer (milliseconds), and the part of another "
       "prompt "
       "that may join it, make long answers pause too long, at a second.",
       1, 100000},
      {Place, "longest_part_ms", Fraction, "300",
       "A prompt is read on so many engines that no part takes longer than "
       "this (milliseconds): other long answers may pause by a second.",
       1, 100000},
      {Place, "budget_share", Fraction, "0.7",
       "Share of its objective that a long prompt may need before engines "
       "with swift requests are taken for it, too.",
       0, 10},
      {Place, "most_held_up", SettingKind::Whole, "12",
       "Swift requests that one long prompt may hold up to be in time: it is "
       "worth some twelve of them.",
       0, 1000},
      {Place, "most_helpers", SettingKind::Whole, "16",
       "Engines that help to read one prompt, at most.", 0, 64},
  };
}

} // namespace

std::vector<SettingDeclaration> placementSettings() {
  std::vector<SettingDeclaration> Result = swiftSettings();
  const std::vector<SettingDeclaration> More = longSettings();
  Result.insert(Result.end(), More.begin(), More.end());
  return Result;
}

namespace {

/// What keeps a host's part bounded in large deployments, and what it asks
/// engines for.
std::vector<SettingDeclaration> scaleSettings() {
  constexpr auto Whole = SettingKind::Whole;
  constexpr auto Span = SettingKind::Span;
  const std::string In = "engine_load";
  return {
      {In, "tell_rate", Whole, "5000",
       "Messages a second to peers for short work, at most; fewer made first "
       "tokens late among 89 hosts, where 400 a second told of it every 220 "
       "ms.",
       1, 1e6},
      {In, "tell_soon_ms", SettingKind::Fraction, "100",
       "Work that takes longer (milliseconds) is told without regard to "
       "tell_rate.",
       0, 1e6},
      {In, "group_hosts", Whole, "16",
       "With so many hosts for each of several groups, and", 1, 1e6},
      {In, "group_engines", Whole, "30",
       "so many engines, each group uses engines of its own and tells nobody "
       "else.",
       1, 1e6},
      {In, "pace_ask_interval", Span, "2s",
       "How often one engine is asked whether it is slow, once its answers "
       "begin late.",
       10e3, 600e6},
      {In, "pace_least_pause", Span, "250ms",
       "Between two such questions to any engine, as under high load all are "
       "late.",
       0, 60e6},
      {In, "pace_keep", Span, "5s",
       "How long an engine counts as slow after it said so.", 100e3, 600e6},
      {In, "late_share", SettingKind::Fraction, "1.4",
       "An answer that begins so many times later than predicted, and", 1, 100},
      {In, "late_by", Span, "200ms", "so much, is late: its engine is asked.",
       0, 60e6},
  };
}

} // namespace

std::vector<SettingDeclaration> EngineLoadPlugin::settings() {
  const std::string In = "engine_load";
  std::vector<SettingDeclaration> Result = {
      {In, "tell_interval", SettingKind::Span, "30ms",
       "Peers are told at most so often what this host has running on engines; "
       "short beside the reading of a prompt.",
       1e3, 60e6},
      {In, "jitter_ms", SettingKind::Fraction, "25",
       "Engines whose predicted first tokens are no further apart than this "
       "(milliseconds) are chosen among at random, as all hosts see alike.",
       0, 1000},
      {In, "other_zone_ms", SettingKind::Fraction, "4",
       "What an engine in another data centre must be better by "
       "(milliseconds): the way there and back, and what the bytes cost.",
       0, 1000},
  };
  const std::vector<SettingDeclaration> Scale = scaleSettings();
  Result.insert(Result.end(), Scale.begin(), Scale.end());
  const std::vector<SettingDeclaration> More = placementSettings();
  Result.insert(Result.end(), More.begin(), More.end());
  return Result;
}

} // namespace banyanpick
