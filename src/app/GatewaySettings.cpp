#include "app/GatewaySettings.h"

#include "base/Error.h"
#include "http/AddressText.h"
#include "native/PlatformSettings.h"

#include <algorithm>
#include <iterator>

namespace banyanpick {

namespace {

constexpr std::string_view Section = "gateway";

Address requiredAddress(const Settings &Values, std::string_view Key) {
  const std::string Text = Values.text(Section, Key);
  if (Text.empty())
    throw Error(ErrorKind::BadInput,
                "[gateway] " + std::string(Key) + " is missing",
                "give ip:port; [host] serving = gateway requires it");
  return addressFromText(Text);
}

/// How the store is read.
std::vector<SettingDeclaration> storeDeclarations() {
  constexpr auto Span = SettingKind::Span;
  constexpr double Hour = 3600e6;
  const std::string SectionName(Section);
  return {
      {SectionName, "declarations_wait", Span, "2s",
       "How long one read for declarations waits for a change; hosts that do "
       "not read hear at its end that nothing changed.",
       0, Hour},
      {SectionName, "engines_interval", Span, "200ms",
       "The registry is read no more often, as any renewal ends a waiting "
       "read.",
       1e3, Hour},
      {SectionName, "engines_wait", Span, "800ms",
       "How long one read of the registry waits for a change. Its end tells "
       "the other hosts that the store is read.",
       0, Hour},
      {SectionName, "retry_first", Span, "100ms",
       "How soon a store that failed is asked again, at first.", 1e3, Hour},
      {SectionName, "retry_most", Span, "800ms",
       "How seldom a store that fails is asked, at most.", 1e3, Hour},
  };
}

/// Where the gateway listens and how it reaches upstreams.
std::vector<SettingDeclaration> relayDeclarations() {
  constexpr auto Span = SettingKind::Span;
  constexpr auto Size = SettingKind::Size;
  constexpr auto Text = SettingKind::Text;
  constexpr double KB = 1024;
  constexpr double Hour = 3600e6;
  const std::string SectionName(Section);
  return {
      {.Section = "host",
       .Key = "serving",
       .Kind = SettingKind::Choice,
       .Default = "catalogue",
       .Help = "Whether the host serves classes of its own catalogue, or as a "
               "gateway that relays requests whole by declared routes.",
       .Choices = {"catalogue", "gateway"}},
      {SectionName, "protocol", Text, "platform",
       "Which protocol callers, upstreams and the store of a gateway speak."},
      {SectionName, "directory", Text, "",
       "Where callers ask for hosts to connect to (ip:port)."},
      {SectionName, "readiness", Text, "",
       "Where the operator asks whether this host takes requests (ip:port)."},
      {SectionName, "metrics", Text, "",
       "Where metrics are served (ip:port); empty: nowhere else than at the "
       "callers' address of a catalogue host."},
      {SectionName, "connect_timeout", Span, "400ms",
       "How long a connection to an upstream may take: many times the way "
       "within a region, and shorter than the first repeat of a lost packet.",
       1e3, Hour},
      {SectionName, "whole_answer_bytes", Size, "1MB",
       "Largest answer that is not a stream; such answers are kept until they "
       "are whole.",
       KB, KB * KB * KB},
      {SectionName, "event_bytes", Size, "256KB",
       "Largest event of a stream; half events are not passed on.", KB,
       KB * KB * KB},
      {SectionName, "link_idle", Span, "3s",
       "How long a connection to an upstream is kept without a request.", 0,
       Hour},
      {SectionName, "links_per_upstream", SettingKind::Whole, "8",
       "Connections kept to one upstream.", 0, 1000},
      {SectionName, "report_timeout", Span, "500ms",
       "How long an upstream may take to tell its state or set memory aside.",
       1e3, Hour},
      {SectionName, "settings_look", Span, "1s",
       "How often the settings file is looked at for changes.", 10e3, Hour},
  };
}

} // namespace

std::vector<SettingDeclaration> gatewaySettingDeclarations() {
  std::vector<SettingDeclaration> Result = relayDeclarations();
  std::vector<SettingDeclaration> Store = storeDeclarations();
  std::ranges::move(Store, std::back_inserter(Result));
  return Result;
}

ServingMode servingFrom(const Settings &Values) {
  return Values.text("host", "serving") == "gateway" ? ServingMode::Gateway
                                                     : ServingMode::Catalogue;
}

GatewaySettings gatewaySettings(const Settings &Values) {
  GatewaySettings Result;
  Result.Protocol = Values.text(Section, "protocol");
  Result.Directory = requiredAddress(Values, "directory");
  Result.Readiness = requiredAddress(Values, "readiness");
  if (!Values.text(Section, "metrics").empty())
    Result.Metrics = requiredAddress(Values, "metrics");
  Result.Store = platformSettings(Values).Log;
  Result.RunLimits.ConnectTimeout = Values.span(Section, "connect_timeout");
  Result.RunLimits.WholeAnswerBytes =
      Values.size(Section, "whole_answer_bytes");
  Result.RunLimits.EventBytes = Values.size(Section, "event_bytes");
  const Duration InitialRetryDelay = Values.span(Section, "retry_first");
  const Duration MaxRetryDelay = Values.span(Section, "retry_most");
  Result.Declarations = {Duration(0), Values.span(Section, "declarations_wait"),
                         InitialRetryDelay, MaxRetryDelay};
  Result.Engines = {Values.span(Section, "engines_interval"),
                    Values.span(Section, "engines_wait"), InitialRetryDelay,
                    MaxRetryDelay};
  Result.LinkIdle = Values.span(Section, "link_idle");
  Result.LinksPerUpstream = Values.whole(Section, "links_per_upstream");
  Result.ReportTimeout = Values.span(Section, "report_timeout");
  Result.SettingsCheckInterval = Values.span(Section, "settings_look");
  Result.FlushAtStop = Values.span("traffic", "flush_at_stop");
  return Result;
}

} // namespace banyanpick
