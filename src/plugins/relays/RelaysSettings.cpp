#include "plugins/relays/RelaysPlugin.h"

namespace banyanpick {

namespace {

constexpr std::string_view Section = "relays";
constexpr std::string_view BudgetSection = "retry_budget";

/// Declares how long a request waits for an upstream, and an attempt for its
/// answer.
std::vector<SettingDeclaration> waitingSettings() {
  constexpr auto Span = SettingKind::Span;
  constexpr auto Fraction = SettingKind::Fraction;
  const std::string SectionName(Section);
  return {
      {SectionName, "hold_shortest", Span, "500ms",
       "A request that no upstream can take waits at least so long for one: "
       "a restart of an upstream shows within it.",
       0, 60e6},
      {SectionName, "hold_share", Fraction, "0.1",
       "It waits no longer than this share of the time it has; at four times "
       "that, callers came back too late for their second try.",
       0, 1},
      {SectionName, "wait_pause", Span, "40ms",
       "How often a waiting request looks for an upstream.", 1e3, 10e6},
      {SectionName, "memory_pause", Span, "40ms",
       "How soon a request tries again, on other engines, whose memory could "
       "not be had; each try costs the engines orders.",
       1e3, 60e6},
      {SectionName, "come_back", Span, "300ms",
       "When callers whose requests did not run should come back.", 0, 60e6},
      {SectionName, "give_up_slack", Span, "30ms",
       "How long after a deadline an upstream's own answer to it is still "
       "awaited: the way from the upstream.",
       0, 10e6},
      {SectionName, "patience_margin", Span, "700ms",
       "An idempotent request is tried elsewhere when its answer has not begun "
       "so long after its prediction times patience_factor.",
       1e3, 60e6},
      {SectionName, "sign_of_life", Span, "700ms",
       "An engine that gave anything to anybody so lately is slow, not dead; "
       "giving its tries up would make an overloaded fleet read prompts twice.",
       0, 60e6},
      {SectionName, "longest_patience", Span, "4s",
       "A try on an engine that is only slow is given up after so long.", 0,
       600e6},
      {SectionName, "silence_swift", Span, "3s",
       "A stream after a short or middle prompt that gives no event for so "
       "long goes on at another engine; beside large reads pauses of 2.4 s "
       "were seen.",
       100e3, 600e6},
      {SectionName, "silence_long", Span, "8s",
       "The same after a long prompt, which takes seconds to read again.",
       100e3, 600e6},
      {SectionName, "patience_factor", Fraction, "2.5",
       "How many times longer than predicted the beginning of an answer may "
       "take.",
       1, 100},
  };
}

/// Declares the bounds on one request and the retry budget.
std::vector<SettingDeclaration> boundSettings() {
  constexpr auto Span = SettingKind::Span;
  constexpr auto Whole = SettingKind::Whole;
  const std::string SectionName(Section);
  const std::string Budget(BudgetSection);
  return {
      {SectionName, "most_sends", Whole, "8",
       "A request is handed to connections at most so often, whatever came of "
       "it.",
       1, 100},
      {Budget, "ratio", SettingKind::Fraction, "0.2",
       "Requests that a service gets more than once, against all its requests.",
       0, 10},
      {Budget, "constant", SettingKind::Fraction, "100",
       "So many more are allowed in a window, over all hosts.", 0, 1e6},
      {Budget, "window", Span, "10s", "The window of the budget.", 100e3,
       3600e6},
      {Budget, "withhold_at_start", SettingKind::Flag, "true",
       "Whether a process uses none of its part of the constant for one window "
       "after its start, as an earlier process of the host may have used it. "
       "Not needed where no host had an earlier process."},
  };
}

} // namespace

std::vector<SettingDeclaration> relaySettingDeclarations() {
  std::vector<SettingDeclaration> Result = waitingSettings();
  const std::vector<SettingDeclaration> More = boundSettings();
  Result.insert(Result.end(), More.begin(), More.end());
  return Result;
}

RelaySettings readRelaySettings(const Settings &Values) {
  RelaySettings Result;
  Result.MinHold = Values.span(Section, "hold_shortest");
  Result.HoldShare = Values.fraction(Section, "hold_share");
  Result.WaitRetryInterval = Values.span(Section, "wait_pause");
  Result.MemoryRetryDelay = Values.span(Section, "memory_pause");
  Result.DefaultRetryAfter = Values.span(Section, "come_back");
  Result.DeadlineGrace = Values.span(Section, "give_up_slack");
  Result.AnswerTimeoutMargin = Values.span(Section, "patience_margin");
  Result.LivenessWindow = Values.span(Section, "sign_of_life");
  Result.MaxAnswerTimeout = Values.span(Section, "longest_patience");
  Result.SilenceLimits = {Values.span(Section, "silence_swift"),
                          Values.span(Section, "silence_long")};
  Result.AnswerTimeoutFactor = Values.fraction(Section, "patience_factor");
  Result.WithholdBudgetAtStart =
      Values.flag(BudgetSection, "withhold_at_start");
  Result.MaxSends =
      static_cast<std::uint32_t>(Values.whole(Section, "most_sends"));
  return Result;
}

RetryBudgetLimits retryBudgetLimits(const Settings &Values) {
  RetryBudgetLimits Result;
  Result.Ratio = Values.fraction(BudgetSection, "ratio");
  Result.Constant = Values.fraction(BudgetSection, "constant");
  Result.Window = Values.span(BudgetSection, "window");
  return Result;
}

} // namespace banyanpick
