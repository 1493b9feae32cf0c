#include "fakes/GatewayDeclarations.h"

#include "kernel/PluginRegistry.h"

namespace banyanpick {

namespace {

RouteEntry route(std::string Prefix, RequestKind Kind, const char *Service) {
  RouteEntry Result;
  Result.Name = Prefix;
  Result.Host = "a.example";
  Result.PathPrefix = std::move(Prefix);
  Result.Kind = Kind;
  Result.Resumable = Kind == RequestKind::Stream;
  Result.Attempts = Kind == RequestKind::AtMostOnce ? 1 : 2;
  Result.TimeLimit = seconds(2);
  Result.Objective = milliseconds(300);
  Result.Split = {{ServiceId(Service), 1}};
  return Result;
}

EngineParameters engine() {
  EngineParameters Result;
  Result.Slots = 16;
  Result.MemoryTokens = 400'000;
  Result.StepsPerPass = 34;
  Result.StepMs = 1.31;
  Result.PrefillTokensPerMs = 154;
  Result.MsPerMillionPairs = 0.162;
  return Result;
}

} // namespace

std::shared_ptr<const GatewayConfiguration>
gatewayDeclarations(std::uint64_t Version) {
  auto Declared = std::make_shared<GatewayConfiguration>();
  Declared->Version = Version;
  Declared->Routes = {route("/safe/", RequestKind::Repeatable, "desk"),
                      route("/once/", RequestKind::AtMostOnce, "desk"),
                      route("/stream/", RequestKind::Stream, "ring"),
                      route("/review/", RequestKind::Stream, "ring")};
  RouteEntry &Review = Declared->Routes.back();
  Review.TimeLimit = seconds(60);
  Review.Objective = seconds(4);
  Declared->Services[ServiceId("desk")].Id = ServiceId("desk");
  ServiceEntry &Ring = Declared->Services[ServiceId("ring")];
  Ring.Id = ServiceId("ring");
  Ring.Engine = engine();
  Declared->NeedsKeys = true;
  Declared->Keys["key"] = {TeamId("house"), std::nullopt};
  Declared->Document = "version " + std::to_string(Version);
  return Declared;
}

Settings gatewaySettingsForTests(std::span<const SettingChange> Changes) {
  const auto Declared = pluginSettings();
  Settings Result = Settings::defaults(Declared);
  Result.set("membership", "discovery", "gossip");
  for (const SettingChange &Change : Changes)
    Result.set(Change.Section, Change.Key, Change.Value);
  return Result;
}

} // namespace banyanpick
