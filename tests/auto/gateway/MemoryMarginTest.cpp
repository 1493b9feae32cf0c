/// \file
/// Guards against engines that are asked to hold more than their memory because
/// several hosts choose by reports that are half a second old.
#include "plugins/engineload/ShortPlacement.h"

#include "kernel/PluginRegistry.h"
#include "plugins/engineload/EngineLoadPlugin.h"

#include <gtest/gtest.h>
#include <random>

namespace banyanpick {
namespace {

constexpr std::size_t Hosts = 40;
constexpr std::size_t Engines = 12;
constexpr std::uint32_t Slots = 64; ///< More than the memory allows.
constexpr std::uint64_t Memory = 197'200;
constexpr std::uint64_t MeanTokens = 5000;
constexpr double JitterMs = 25;            ///< The default.
constexpr milliseconds UsualReportAge(31); ///< The reporting interval and way.
constexpr milliseconds LostReportAge(500); ///< When one report is lost.
constexpr milliseconds RunsFor(4000);

/// A request that an engine holds.
struct Held {
  std::size_t Host = 0;
  std::size_t Engine = 0;
  std::uint64_t Tokens = 0;
  Time SentAt{};
};

/// Hosts that see their own requests at once and those of others late.
class StaleHosts {
public:
  StaleHosts(double Margin, Duration ReportAge) : ReportAge(ReportAge) {
    this->Weights = placementWeights(Settings::defaults(pluginSettings()));
    this->Weights.MemoryMargin = Margin;
  }

  /// Sends requests at the rate for the time. Returns the largest sum of tokens
  /// on an engine, as a share of its memory.
  double peakShare(double PerSecond, Duration For) {
    const Duration Interval = fromSeconds(1 / PerSecond);
    std::exponential_distribution<double> Size(1.0 / MeanTokens);
    std::uint64_t Peak = 0;
    for (Time Now(seconds(10)); Now < Time(seconds(10)) + For;
         Now += Interval) {
      std::erase_if(this->All, [&](const Held &Each) {
        return Now >= Each.SentAt + RunsFor;
      });
      const auto Tokens = static_cast<std::uint64_t>(Size(this->Draws)) + 500;
      this->send(this->Draws() % Hosts, Tokens, Now);
      std::vector<std::uint64_t> Sums(Engines);
      for (const Held &Each : this->All)
        Sums[Each.Engine] += Each.Tokens;
      Peak = std::max(Peak, *std::ranges::max_element(Sums));
    }
    return static_cast<double>(Peak) / static_cast<double>(Memory);
  }
  std::size_t deferred() const { return this->Deferred; }

private:
  void send(std::size_t Host, std::uint64_t Tokens, Time Now) {
    const auto Usable = static_cast<std::uint64_t>(
        static_cast<double>(Memory) * (1 - this->Weights.MemoryMargin));
    std::vector<EngineState> States(Engines);
    for (std::size_t Index = 0; Index < Engines; ++Index) {
      States[Index].Position = Index;
      States[Index].FreeTokens = Usable;
      // Without jitter, all hosts would choose the same engine meanwhile.
      States[Index].ExtraMs =
          static_cast<double>(this->Draws() % 1000) / 1000 * JitterMs;
    }
    for (const Held &Each : this->All) {
      if (Each.Host != Host && Now < Each.SentAt + this->ReportAge)
        continue;
      EngineState &State = States[Each.Engine];
      ++State.Running;
      State.FreeTokens -= std::min(State.FreeTokens, Each.Tokens);
    }
    const PromptWork Work{30, Tokens, Tokens, 120};
    const std::size_t Chosen =
        placeShort(States, Engines, Slots, Work, this->Weights).Chosen;
    if (!mayExceedMemory(this->Weights) && Tokens > States[Chosen].FreeTokens) {
      ++this->Deferred;
      return;
    }
    this->All.push_back({Host, Chosen, Tokens, Now});
  }

  std::mt19937 Draws{7};
  Duration ReportAge;
  PlacementWeights Weights;
  std::vector<Held> All;
  std::size_t Deferred = 0;
};

TEST(MemoryMargin, KeepsTheSumOnAnEngineBelowItsMemory) {
  // Together the requests need 1.3 times the memory of all engines.
  constexpr double PerSecond = 1.3 * Memory * Engines / (MeanTokens * 4.0);
  EXPECT_GT(StaleHosts(0, UsualReportAge).peakShare(PerSecond, seconds(20)), 1);
  StaleHosts Bounded(0.25, UsualReportAge);
  EXPECT_LE(Bounded.peakShare(PerSecond, seconds(20)), 1);
  EXPECT_GT(Bounded.deferred(), 0U);
}

/// Guards against engines that crash because hosts with old views together send
/// more than their memory.
TEST(MemoryMargin, KeepsTheSumBelowTheMemoryAtFullDemandWithLostReports) {
  constexpr double PerSecond = 1.3 * Memory * Engines / (MeanTokens * 4.0);
  StaleHosts Bounded(0.25, LostReportAge);
  EXPECT_LE(Bounded.peakShare(PerSecond, seconds(20)), 1);
}

TEST(MemoryMargin, KeepsTheSumAtUsualLoadWithLostReportsAndDefersNothing) {
  constexpr double PerSecond = 0.4 * Memory * Engines / (MeanTokens * 4.0);
  StaleHosts Bounded(0.25, LostReportAge);
  EXPECT_LE(Bounded.peakShare(PerSecond, seconds(20)), 1);
  EXPECT_EQ(Bounded.deferred(), 0U);
}

} // namespace
} // namespace banyanpick
