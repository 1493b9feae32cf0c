/// \file
/// Guards against sound parts of prompts that are refused because engines died
/// while they ran.
#include "auto/manyhosts/SimulationLoad.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>

namespace banyanpick {
namespace {

/// Least share of the prompts whose answers begin at the first attempt once all
/// engines are back, of the share before.
constexpr double UndisturbedShare = 0.95;

const Fingerprint FirstPart(7); ///< All prompts share it.
const Fingerprint BadPart(~std::uint64_t(0));
const Fingerprint OtherBadPart(~std::uint64_t(1));

enum class Load { Sound, WithOneBadPart, WithTwoBadParts };

/// One prompt of so many has a bad part, where some have one.
constexpr std::size_t BadOneIn = 12;

/// Offers prompts that share the first part to the serving hosts in turn.
class PromptLoad {
public:
  PromptLoad(HostSimulation &Simulation, const SimulationSize &Size)
      : Simulation(Simulation), Size(Size) {}

  void offer(Load Kind, Duration For) {
    const Time Until = this->Simulation.now() + For;
    while (this->Simulation.now() < Until) {
      ++this->Count;
      if (Kind != Load::Sound && this->Count % BadOneIn == 0)
        this->sendBad(Kind);
      else
        this->send({FirstPart}, false);
      this->Simulation.run(this->Size.RequestInterval * Slowness);
    }
  }

  /// Sends sound prompts to all hosts so fast that half of the engines run
  /// some.
  void burst() {
    for (std::size_t Sent = 0; Sent < 6 * this->Size.Engines; ++Sent) {
      ++this->Count;
      this->send({FirstPart}, false);
      if (Sent % (this->Size.Engines / 2) == 0)
        this->Simulation.run(milliseconds(15));
    }
  }

  /// Sends a few prompts with a bad part, one after the other.
  void offerBadAlone(Load Kind) {
    for (int Number = 0; Number < 5; ++Number) {
      ++this->Count;
      this->sendBad(Kind);
      this->Simulation.run(milliseconds(500));
    }
  }

  /// Sends sound prompts with a part that crashes engines later.
  void sendWhileStillSound(std::size_t Prompts) {
    for (std::size_t Sent = 0; Sent < Prompts; ++Sent) {
      ++this->Count;
      this->send({FirstPart, BadPart}, false);
      this->Simulation.run(this->Size.RequestInterval);
    }
  }

  double servedShare() {
    const HostSimulation::Tally Counts = this->Simulation.takeTally();
    EXPECT_GE(Counts.SharingTries, 20U);
    return static_cast<double>(Counts.SharingServed) /
           static_cast<double>(Counts.SharingTries);
  }

private:
  /// Prompts come so much slower than those of other tests.
  static constexpr int Slowness = 4;

  void sendBad(Load Kind) {
    const bool IsOther =
        Kind == Load::WithTwoBadParts && this->Count / BadOneIn % 2 == 0;
    this->send({FirstPart, IsOther ? OtherBadPart : BadPart}, true);
  }

  void send(std::vector<Fingerprint> Parts, bool Crashes) {
    // A host that starts names none yet.
    const std::vector<std::size_t> Serving = this->servingHosts();
    if (!Serving.empty())
      this->Simulation.sendPrompt(Serving[this->Count % Serving.size()],
                                  std::move(Parts), Crashes);
  }

  std::vector<std::size_t> servingHosts() {
    for (std::size_t Host = 0; Host < this->Simulation.size(); ++Host) {
      if (!this->Simulation.isRunning(Host))
        continue;
      std::vector<std::size_t> Named = this->Simulation.resolvedHosts(Host);
      std::erase_if(Named, [&](std::size_t Each) {
        return !this->Simulation.isRunning(Each);
      });
      if (!Named.empty())
        return Named;
    }
    return {};
  }

  HostSimulation &Simulation;
  SimulationSize Size;
  std::size_t Count = 0;
};

/// Restarts all hosts half a second after they were killed.
void restartAll(HostSimulation &Simulation) {
  for (std::size_t Host = 0; Host < Simulation.size(); ++Host)
    Simulation.kill(Host);
  Simulation.run(milliseconds(500));
  for (std::size_t Host = 0; Host < Simulation.size(); ++Host)
    Simulation.restart(Host);
  Simulation.run(seconds(2));
}

class SuspectedPartAtSize : public testing::TestWithParam<SimulationSize> {
protected:
  /// Time for which an engine prefills each prompt.
  static constexpr milliseconds PrefillTime{100};

  SuspectedPartAtSize() {
    this->Simulation.publish(1);
    this->Simulation.run(seconds(25));
  }

  /// Crashes three engines that run prompts. Returns how many prompts they ran.
  std::size_t crashThreeBusyEngines() {
    const std::vector<std::size_t> Loads = this->Simulation.engineLoads();

    std::vector<std::size_t> Busy;
    for (std::size_t Engine = 0; Engine < Loads.size(); ++Engine)
      if (Loads[Engine] > 0)
        Busy.push_back(Engine);
    std::ranges::sort(Busy, {}, [&](std::size_t Each) { return Loads[Each]; });
    std::size_t Result = 0;
    for (std::size_t Index = 0; Index < 3; ++Index) {
      Result += Loads.at(Busy.at(Index));
      this->Simulation.crashEngine(Busy.at(Index));
    }
    return Result;
  }

  SimulationSize Size = GetParam();
  HostSimulation Simulation{Size.Hosts, Size.Engines};
  PromptLoad Prompts{Simulation, Size};
};

/// Guards against a first part that all hosts refuse, also after a restart,
/// because three engines died at once after a pause of its callers.
TEST_P(SuspectedPartAtSize, IsServedAfterEnginesDiedTogether) {
  this->Simulation.setPrefill(PrefillTime);
  this->Prompts.offer(Load::Sound, seconds(4));
  const double Undisturbed = this->Prompts.servedShare();
  this->Simulation.run(seconds(4));
  this->Simulation.takeTally();
  this->Prompts.burst();
  const std::size_t MaxLost = this->crashThreeBusyEngines();
  this->Simulation.run(seconds(2));
  EXPECT_LE(lostRequests(this->Simulation.takeTally()), MaxLost)
      << "prompts on sound engines were ended";
  this->Simulation.run(seconds(2));
  this->Prompts.offer(Load::Sound, seconds(4));
  EXPECT_GE(this->Prompts.servedShare(), Undisturbed * UndisturbedShare);
  restartAll(this->Simulation);
  this->Simulation.takeTally();
  this->Prompts.offer(Load::Sound, seconds(4));
  EXPECT_GE(this->Prompts.servedShare(), Undisturbed * UndisturbedShare);
}

INSTANTIATE_TEST_SUITE_P(All, SuspectedPartAtSize,
                         testing::Values(StandardSizes[0], StandardSizes[1]),
                         [](const auto &Info) { return sizeName(Info); });

} // namespace
} // namespace banyanpick
