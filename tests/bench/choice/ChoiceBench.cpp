/// \file
/// Measures the time of one choice of an engine against the number of engines.
#include "fakes/GatewayDeclarations.h"
#include "kernel/GatewayServices.h"
#include "kernel/Kernel.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>

namespace banyanpick {
namespace {

constexpr std::size_t ZoneCount = 3;
constexpr std::size_t PeerCount = 16;
constexpr std::size_t EnginesPerPeer = 12;
constexpr std::size_t Choices = 2000;
constexpr std::uint64_t ShortPrompt = 5000;
constexpr std::uint64_t LongPrompt = 260'000;

Identity identity() {
  Identity Result;
  Result.Host = HostId("h1");
  Result.Life = Incarnation(11);
  Result.Zone = ZoneId("z0");
  return Result;
}

UpstreamId engineName(std::size_t Number) {
  return UpstreamId(fmt::format("e{:04}", Number));
}

/// Returns the registration of engines in three zones.
EnginesRead registrations(std::size_t Engines) {
  EnginesRead Read;
  Read.Complete = true;
  Read.UpTo = Engines + 1;
  for (std::size_t Number = 0; Number < Engines; ++Number) {
    EngineChange Change;
    Change.Engine.Id = engineName(Number);
    Change.Engine.Service = ServiceId("ring");
    Change.Engine.At = {"127.0.0.1", static_cast<std::uint16_t>(Number + 1)};
    Change.Engine.Zone = ZoneId(fmt::format("z{}", Number % ZoneCount));
    Change.Engine.Slots = 16;
    Change.Offset = Number + 1;
    Read.Changes.push_back(std::move(Change));
  }
  return Read;
}

/// Returns a peer's report of requests on some engines.
EngineWork workOfPeer(std::size_t Peer, std::size_t Engines) {
  EngineWork Work;
  for (std::size_t Each = 0; Each < EnginesPerPeer; ++Each) {
    EngineWork::Item Item;
    Item.Engine = engineName((Peer * EnginesPerPeer + Each) % Engines);
    Item.PrefillMs = 20;
    Item.Prefilling = 1;
    Item.Decoding = 2;
    Item.MemoryTokens = 30'000;
    Item.ShortRunning = 3;
    Item.ActiveAnswers = {{250, 100}};
    Work.Items.push_back(Item);
  }
  return Work;
}

/// Prints the median and the 99th percentile of one kind of choice.
void measure(const char *Name, std::size_t Engines, std::uint64_t PromptTokens,
             std::span<const SettingChange> Changes) {
  Kernel Host(identity(), gatewaySettingsForTests(Changes), 7,
              ServingMode::Gateway);
  const Time Now(seconds(1000));
  Host.handle(Tick{}, Now);
  Host.handle(GatewayEvent(ConfigurationRead{gatewayDeclarations(1),
                                             ConfigurationSource::Store}),
              Now);
  Host.handle(
      GatewayEvent(StoreObserved{StoreObserved::Part::Engines, true, ""}), Now);
  Host.handle(GatewayEvent(registrations(Engines)), Now);
  for (std::size_t Peer = 0; Peer < PeerCount; ++Peer)
    Host.handle(
        PeerMessageReceived{{HostId(fmt::format("p{:02}", Peer)),
                             Incarnation(1), workOfPeer(Peer, Engines)}},
        Now);
  auto &Selector = Host.services().get<EngineSelector>();
  EngineRequirements Wanted;
  Wanted.Service = ServiceId("ring");
  Wanted.PromptTokens = PromptTokens;
  Wanted.OutputTokens = 500;
  Wanted.Objective = seconds(4);
  Wanted.Left = seconds(10);
  std::vector<double> Micros;
  for (std::size_t Each = 0; Each < Choices; ++Each) {
    Wanted.Request = RequestId(Each + 1);
    const auto Begin = std::chrono::steady_clock::now();
    const EngineChoice Choice = Selector.choose(Wanted, Now);
    const auto End = std::chrono::steady_clock::now();
    if (std::holds_alternative<NoEngine>(Choice)) {
      fmt::print("{}: no engine was chosen\n", Name);
      return;
    }
    Selector.forget(Wanted.Request, Now);
    Micros.push_back(
        std::chrono::duration<double, std::micro>(End - Begin).count());
  }
  std::ranges::sort(Micros);
  fmt::print("{:<28} engines {:>4}  median {:>8.1f} us  p99 {:>8.1f} us\n",
             Name, Engines, Micros[Choices / 2], Micros[Choices * 99 / 100]);
}

void measureAll() {
  const std::vector<SettingChange> Costs = {
      {"engine_load", "new_connection_ms", "25"},
      {"placement", "zone_front", "true"},
      {"placement", "helper_zone_ms", "20"}};
  for (const std::size_t Engines : {100, 1000}) {
    measure("short prompt", Engines, ShortPrompt, {});
    measure("short prompt, costs on", Engines, ShortPrompt, Costs);
    measure("long prompt", Engines, LongPrompt, {});
    measure("long prompt, costs on", Engines, LongPrompt, Costs);
  }
}

} // namespace
} // namespace banyanpick

int main() {
  banyanpick::measureAll();
  return 0;
}
