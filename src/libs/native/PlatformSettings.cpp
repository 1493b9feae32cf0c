#include "native/PlatformSettings.h"

#include "http/AddressText.h"

namespace banyanpick {

namespace {

constexpr double Millisecond = 1e3;
constexpr double Minute = 60e6;

SettingDeclaration addressSetting(std::string Key, std::string Help) {
  SettingDeclaration Result;
  Result.Section = "platform";
  Result.Key = std::move(Key);
  Result.Kind = SettingKind::Address;
  Result.Help = std::move(Help);
  Result.Required = true;
  return Result;
}

} // namespace

std::vector<SettingDeclaration> platformSettingDeclarations() {
  constexpr auto Span = SettingKind::Span;
  return {
      addressSetting("log", "Where the log service listens."),
      addressSetting("host_list", "Where the host list is served."),
      {"platform", "log_timeout", Span, "2s",
       "How long an append or the answer to a read may take before its outcome "
       "counts as unknown.",
       Millisecond, Minute},
      {"platform", "log_wait", Span, "500ms",
       "How long a read of the log waits there for new records.", 0, Minute},
      {"platform", "host_list_timeout", Span, "1s",
       "How long a read of the host list may take.", Millisecond, Minute},
      {"upstreams", "connect_timeout", Span, "500ms",
       "How long a connection to an upstream may take; nothing was sent then.",
       Millisecond, Minute},
      {"upstreams", "poll_timeout", Span, "1s",
       "How long a load report or cache events may take.", Millisecond, Minute},
      {"upstreams", "order_timeout", Span, "2s",
       "How long a cancel, a hold or an order may take before its outcome "
       "counts as unknown.",
       Millisecond, Minute},
  };
}

PlatformSettings platformSettings(const Settings &Values) {
  PlatformSettings Result;
  Result.Log = addressFromText(Values.text("platform", "log"));
  Result.HostList = addressFromText(Values.text("platform", "host_list"));
  Result.LogTimeout = Values.span("platform", "log_timeout");
  Result.LogWait = Values.span("platform", "log_wait");
  Result.HostListTimeout = Values.span("platform", "host_list_timeout");
  Result.ConnectTimeout = Values.span("upstreams", "connect_timeout");
  Result.PollTimeout = Values.span("upstreams", "poll_timeout");
  Result.OrderTimeout = Values.span("upstreams", "order_timeout");
  return Result;
}

} // namespace banyanpick
