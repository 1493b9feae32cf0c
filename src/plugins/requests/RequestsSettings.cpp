#include "plugins/requests/RequestServices.h"

namespace banyanpick {

namespace {

constexpr std::string_view Section = "requests";

} // namespace

std::vector<SettingDeclaration> RequestsSettings::declarations() {
  const std::string SectionName(Section);
  return {
      {SectionName, "resume_window", SettingKind::Span, "10s",
       "How long a stream whose caller's connection was cut waits to be "
       "resumed.",
       0, 600e6},
      {SectionName, "sweep_interval", SettingKind::Span, "20ms",
       "How often waiting requests are tried and judged again at the latest.",
       1e3, 1e6},
      {SectionName, "come_back_after", SettingKind::Span, "500ms",
       "Come-back hint of refusals for which nothing better is known; spread "
       "up to twice this.",
       1e3, 60e6},
      {SectionName, "candidates_per_sweep", SettingKind::Whole, "16",
       "How many waiting requests are tried in one sweep.", 1, 1024},
      {SectionName, "most_tries", SettingKind::Whole, "4",
       "How many upstreams one request is tried on at most.", 1, 16},
  };
}

RequestsSettings RequestsSettings::from(const Settings &Values) {
  RequestsSettings Result;
  Result.ResumeWindow = Values.span(Section, "resume_window");
  Result.SweepInterval = Values.span(Section, "sweep_interval");
  Result.RetryAfter = Values.span(Section, "come_back_after");
  Result.CandidatesPerSweep = Values.whole(Section, "candidates_per_sweep");
  Result.MaxAttempts =
      static_cast<std::uint32_t>(Values.whole(Section, "most_tries"));
  return Result;
}

} // namespace banyanpick
