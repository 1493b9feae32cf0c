#include "plugins/relays/RelayLog.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"

#include <algorithm>

namespace banyanpick {

namespace {

std::string_view outcomeName(const RelayOutcome &Outcome) {
  return match(
      Outcome,
      [](const RelayNeverSent &NeverSent) { return name(NeverSent.Reason); },
      [](const RelayNotRun &NotRun) {
        return std::string_view(NotRun.OtherEngine ? "other_engine"
                                                   : "not_run");
      },
      [](const RelayDelivered &) { return std::string_view("delivered"); },
      [](const RelayFailed &) { return std::string_view("failed"); },
      [](const RelayBroken &Broken) { return name(Broken.Reason); });
}

std::uint32_t statusOf(const RelayOutcome &Outcome) {
  return match(
      Outcome, [](const RelayNotRun &NotRun) { return NotRun.Status; },
      [](const RelayDelivered &Delivered) { return Delivered.Status; },
      [](const RelayFailed &Failed) { return Failed.Status; },
      [](const auto &) { return std::uint32_t(0); });
}

/// Returns the fingerprints, separated by commas. Only the first ones, so that
/// the line stays short.
std::string partsText(std::span<const Fingerprint> Parts) {
  constexpr std::size_t MaxParts = 8;
  std::string Result;
  for (const Fingerprint &Part : Parts.first(std::min(Parts.size(), MaxParts)))
    Result += (Result.empty() ? "" : ",") + std::to_string(Part.Value);
  return Result;
}

} // namespace

void logReceived(const RunningRelay &Relay, Time Now, Actions &Out) {
  Out.log(logEvent(events::RelayReceived)
              .with("request", Relay.Head.Id.Value)
              .with("caller_attempt", Relay.Head.CallerAttempt)
              .with("content", Relay.Head.Content.Value)
              .with("parts", partsText(Relay.Head.PromptParts))
              .with("route", Relay.Route)
              .with("service", Relay.Service.Value)
              .with("team", Relay.Team.Value)
              .with("prompt_tokens", Relay.Head.PromptTokens)
              .with("time_us", (Relay.Deadline - Now).count())
              .with("version", Relay.ConfigurationVersion)
              .build());
}

void logRefused(const RelayHead &Head, RefusalKind Kind,
                std::string_view Reason, const RouteView &Routes, Time Now,
                Actions &Out) {
  const RouteTable *Table = Routes.routes();
  const ConfigurationFreshness Current = Routes.freshness(Now);
  const bool Reported = Current.ReportAge != Duration::max();
  Out.count("relays_ended", name(Kind));
  Out.log(
      logEvent(events::RelayAnswered)
          .with("request", Head.Id.Value)
          .with("caller_attempt", Head.CallerAttempt)
          .with("host_name", Head.Host)
          .with("path", Head.Path)
          .with("how", name(Kind))
          .with("why", Reason)
          .with("version", Table ? Table->version() : 0)
          .with("missing_version", Current.MissingVersion)
          .with("missing_for_us", Current.MissingFor.count())
          .with("reported_us_ago", Reported ? Current.ReportAge.count() : -1)
          .build());
}

void logSent(const RunningRelay &Relay, const RelayAttempt &Attempt,
             const RegisteredEngine &Engine, const SelectedEngine &Chosen,
             Actions &Out) {
  Out.log(logEvent(events::RelaySent)
              .with("request", Relay.Head.Id.Value)
              .with("try", Attempt.Id.Sequence)
              .with("engine", Attempt.Engine.Value)
              .with("helpers", Attempt.Helpers.size())
              .with("sends", Relay.Sends)
              .with("after_event", Relay.LastEvent.value_or(0))
              .with("standing", name(Engine.Standing))
              .with("offset", Engine.Offset)
              .with("at_limit", Chosen.AtLimit)
              .with("resting", Chosen.BackingOff)
              .with("predicted_us", Attempt.Predicted.count())
              .build());
}

void logForwarded(const RunningRelay &Relay, const RelayAttempt &Attempt,
                  Actions &Out) {
  Out.count("relays_forwarded", Relay.Service.Value);
  Out.log(logEvent(events::RelayForwarded)
              .with("request", Relay.Head.Id.Value)
              .with("try", Attempt.Id.Sequence)
              .with("to", Attempt.Engine.Value)
              .with("service", Relay.Service.Value)
              .with("forwards", Relay.Forwards)
              .build());
}

void logWaiting(const RunningRelay &Relay, Actions &Out) {
  Out.count("relays_waited");
  Out.log(logEvent(events::RelayWaits)
              .with("request", Relay.Head.Id.Value)
              .with("service", Relay.Service.Value)
              .with("ran_on", Relay.RanOn.size())
              .with("not_run_on", Relay.NotRunOn.size())
              .build());
}

void logQueued(const RunningRelay &Relay, Actions &Out) {
  Out.count("relays_awaited_turn");
  Out.log(logEvent(events::RelayAwaitsTurn)
              .with("request", Relay.Head.Id.Value)
              .with("service", Relay.Service.Value)
              .with("prompt_tokens", Relay.Head.PromptTokens)
              .build());
}

void logAttemptEnded(const RunningRelay &Relay, const RelayAttempt &Ended,
                     const RelayOutcome &Outcome, Time Now, Actions &Out) {
  Out.count("tries_ended", outcomeName(Outcome));
  Out.log(logEvent(events::RelayAttemptEnded)
              .with("request", Relay.Head.Id.Value)
              .with("try", Ended.Id.Sequence)
              .with("engine", Ended.Engine.Value)
              .with("how", outcomeName(Outcome))
              .with("status", statusOf(Outcome))
              .with("helpers", Ended.Helpers.size())
              .with("predicted_us", Ended.Predicted.count())
              .with("after_us", (Now - Ended.SentAt).count())
              .build());
}

void logEnd(const RunningRelay &Relay, std::string_view Result,
            std::string_view Reason, Time Now, Actions &Out) {
  Out.count("relays_ended", Result);
  Out.add(RecordMeasurement{RecordMeasurement::Kind::Histogram, "relay_seconds",
                            std::string(Result),
                            inSeconds(Now - Relay.ArrivedAt)});
  Out.log(logEvent(events::RelayAnswered)
              .with("request", Relay.Head.Id.Value)
              .with("caller_attempt", Relay.Head.CallerAttempt)
              .with("how", Result)
              .with("why", Reason)
              .with("sends", Relay.Sends)
              .with("ran_on", Relay.RanOn.size())
              .with("prompt_tokens", Relay.Head.PromptTokens)
              .with("first_event_us", Relay.FirstEventLatency.count())
              .with("longest_pause_us", Relay.MaxEventGap.count())
              .with("after_us", (Now - Relay.ArrivedAt).count())
              .build());
}

} // namespace banyanpick
