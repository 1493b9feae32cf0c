#include "app/TrafficSettings.h"

#include "app/GatewaySettings.h"
#include "base/Error.h"
#include "http/AddressText.h"
#include "http/HttpSettings.h"
#include "kernel/PluginRegistry.h"
#include "logging/LineLog.h"
#include "native/PlatformSettings.h"
#include "peers/PeerSettings.h"

#include <cmath>

namespace banyanpick {

namespace {

constexpr double ThousandthsOfOne = 1000;

SettingDeclaration hostSetting(std::string Key, SettingKind Kind,
                               std::string Help) {
  SettingDeclaration Result;
  Result.Section = "host";
  Result.Key = std::move(Key);
  Result.Kind = Kind;
  Result.Help = std::move(Help);
  Result.Required = true;
  return Result;
}

void append(std::vector<SettingDeclaration> &To,
            std::vector<SettingDeclaration> More) {
  To.insert(To.end(), More.begin(), More.end());
}

} // namespace

std::vector<SettingDeclaration> trafficSettingDeclarations() {
  constexpr auto Span = SettingKind::Span;
  constexpr auto Size = SettingKind::Size;
  constexpr auto Whole = SettingKind::Whole;
  constexpr double KB = 1024;
  constexpr double GB = 1024 * KB * KB;
  constexpr double Hour = 3600e6;
  return {
      hostSetting("name", SettingKind::Text,
                  "Name of this entry host, unique in the deployment."),
      hostSetting("zone", SettingKind::Text,
                  "Data centre that this host stands in."),
      hostSetting("callers", SettingKind::Address,
                  "Where callers and operators connect."),
      hostSetting("peers", SettingKind::Address,
                  "Where the other entry hosts connect."),
      {"host", "processor", SettingKind::Fraction, "1",
       "Processor that this host has, in cores. Of many hosts those with more "
       "take the callers, each in proportion.",
       0.001, 1024},
      {"traffic", "threads", Whole, "2",
       "Threads that relay requests; control has one more.", 1, 64},
      {"traffic", "progress_chunks", Whole, "64",
       "Chunks of a stream between two reports to control.", 1, 1e6},
      {"traffic", "undelivered_bytes", Size, "32KB",
       "Chunks that wait for a slow caller before reading from its upstream "
       "pauses.",
       KB, GB},
      {"traffic", "resume_bytes", Size, "16KB",
       "Chunks kept after delivery for a caller whose connection was cut.", 0,
       GB},
      {"traffic", "whole_answer_bytes", Size, "16MB",
       "Largest answer that is not streamed.", KB, GB},
      {"traffic", "keep_ended", Span, "10s",
       "How long an ended stream waits for a caller whose connection was cut.",
       0, Hour},
      {"traffic", "flush_at_stop", Span, "5s",
       "How long a stopping host still writes answers that are ready.", 0,
       Hour},
  };
}

TrafficSettings trafficSettings(const Settings &Values) {
  TrafficSettings Result;
  Result.Threads = Values.whole("traffic", "threads");
  Result.ProgressChunks = Values.whole("traffic", "progress_chunks");
  Result.KeepEnded = Values.span("traffic", "keep_ended");
  Result.FlushAtStop = Values.span("traffic", "flush_at_stop");
  Result.Relay.UndeliveredBytes = Values.size("traffic", "undelivered_bytes");
  Result.Relay.KeepDeliveredBytes = Values.size("traffic", "resume_bytes");
  Result.Relay.WholeAnswerBytes = Values.size("traffic", "whole_answer_bytes");
  return Result;
}

Identity identityFrom(const Settings &Values, Incarnation Life) {
  Identity Result;
  Result.Host.Value = Values.text("host", "name");
  Result.Life = Life;
  Result.Zone.Value = Values.text("host", "zone");
  Result.Callers = addressFromText(Values.text("host", "callers"));
  Result.Peers = addressFromText(Values.text("host", "peers"));
  Result.Processor.Thousandths = static_cast<std::uint32_t>(
      std::lround(Values.fraction("host", "processor") * ThousandthsOfOne));
  if (Result.Host.Value.empty() || Result.Zone.Value.empty())
    throw Error(ErrorKind::BadInput, "[host] name or zone is empty",
                "name the host and its data centre");
  return Result;
}

std::vector<SettingDeclaration> daemonSettingDeclarations() {
  std::vector<SettingDeclaration> Result = trafficSettingDeclarations();
  append(Result, gatewaySettingDeclarations());
  append(Result, httpSettingDeclarations());
  append(Result, platformSettingDeclarations());
  append(Result, peerSettingDeclarations());
  append(Result, loggingSettings());
  append(Result, pluginSettings());
  return Result;
}

} // namespace banyanpick
