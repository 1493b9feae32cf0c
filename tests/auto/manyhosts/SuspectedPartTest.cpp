/// \file
/// Guards against sound parts of prompts that are refused because engines died
/// while they ran, and against crashing parts that hide among them: in pauses
/// of callers, beside deaths of another cause, across restarts of hosts.
#include "auto/manyhosts/SimulationLoad.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>

namespace banyanpick {
namespace {

/// How long after the fifth crash requests with the part may still be sent
/// freely, and how often later.
constexpr seconds Allowance(3);
constexpr std::ptrdiff_t MaxLaterSends = 3;

/// After the fifth crash, or the last one, sound requests are served again
/// within this time.
constexpr seconds RecoveryTime(6);

/// Least share of the sound requests whose answers begin at the first attempt,
/// while requests with a crashing part still come. The promise is half of the
/// share without them.
constexpr double MinServedShare = 0.5;
/// The same share if no part crashes engines and none is down, of that before.
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

std::ptrdiff_t sendsAfter(const HostSimulation &Simulation, Time Since) {
  return std::ranges::count_if(Simulation.crashingArrivals(),
                               [&](Time At) { return At > Since; });
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

/// Guards against a sound first part that is refused with the part that crashes
/// engines, because its callers had paused before.
TEST_P(SuspectedPartAtSize, IsServedBesideABadPartAfterAPause) {
  this->Prompts.offer(Load::Sound, seconds(4));
  this->Simulation.run(seconds(4));
  this->Prompts.offerBadAlone(Load::WithOneBadPart);
  this->Simulation.run(seconds(6));
  this->Simulation.takeTally();
  this->Prompts.offer(Load::WithOneBadPart, seconds(8));
  EXPECT_GE(this->Prompts.servedShare(), MinServedShare);
  EXPECT_LE(
      sendsAfter(this->Simulation, this->Simulation.crashes()[2] + Allowance),
      MaxLaterSends);
}

/// Guards against a first part that is never tried without the bad one, as
/// nothing tells them apart.
TEST_P(SuspectedPartAtSize, IsServedBesideABadPartThatItAlwaysCameWith) {
  this->Prompts.offerBadAlone(Load::WithOneBadPart);
  this->Prompts.offer(Load::WithOneBadPart, seconds(6));
  this->Simulation.takeTally();
  this->Prompts.offer(Load::WithOneBadPart, seconds(8));
  EXPECT_GE(this->Prompts.servedShare(), UndisturbedShare);
  EXPECT_LE(
      sendsAfter(this->Simulation, this->Simulation.crashes()[2] + Allowance),
      MaxLaterSends);
}

/// The course of a random run.
struct Course {
  explicit Course(std::uint64_t Seed) : Draws(Seed) {}

  Random Draws{0};
  Load Kind = static_cast<Load>(this->Draws.below(3));
  bool HadSoundPrompts = this->Draws.below(4) > 0;
  /// The bad part was sound at first.
  bool TurnedBad = this->Draws.below(4) == 0;
  Duration Pause = seconds(this->Draws.below(4) * 5);
  /// Long prefills would let sound prompts with that part still run later.
  Duration Prefill =
      milliseconds(this->TurnedBad ? 0 : this->Draws.below(3) * 50);
  bool HasWave = this->Draws.below(2) == 0;
  bool IsWaveAtOnce = this->Draws.below(2) == 0; ///< Right after the pause.
  Duration WaveAfter =
      milliseconds(this->IsWaveAtOnce ? 0 : this->Draws.below(4000));
  /// Prompts with a bad part come before all others after the pause.
  bool BeginsWithBad = this->Kind != Load::Sound && this->Draws.below(2) == 0;
  std::uint64_t KilledHosts = this->Draws.below(3); ///< 2: all.
};

/// Guards against the class of both faults, with random courses of events.
TEST_P(SuspectedPartAtSize, IsJudgedByItsOwnEvidenceInRandomRuns) {
  for (std::uint64_t Seed = 0; Seed < seedCount(); ++Seed) {
    SCOPED_TRACE(Seed);
    Course Drawn(Seed + 1);
    HostSimulation Run(this->Size.Hosts, this->Size.Engines);
    PromptLoad Sent(Run, this->Size);
    Run.publish(1);
    Run.run(seconds(25) + milliseconds(37) * Seed);
    Run.setPrefill(Drawn.Prefill);
    if (Drawn.HadSoundPrompts)
      Sent.offer(Load::Sound, seconds(3));
    if (Drawn.HadSoundPrompts && Drawn.TurnedBad)
      Sent.sendWhileStillSound(5);
    Run.run(Drawn.Pause);
    if (Drawn.BeginsWithBad)
      Sent.offerBadAlone(Drawn.Kind);
    Sent.offer(Drawn.Kind, Drawn.WaveAfter);
    std::size_t Wave = 0;
    if (Drawn.HasWave) {
      Sent.burst();
      for (; Wave < this->Size.Engines / 5; ++Wave)
        Run.crashEngine(Wave);
    }
    Sent.offer(Drawn.Kind, seconds(5));
    if (Drawn.KilledHosts == 2) {
      restartAll(Run);
    } else if (Drawn.KilledHosts == 1) {
      Run.kill(1);
      Run.run(seconds(1));
      Run.restart(1);
    }
    Sent.offer(Drawn.Kind, RecoveryTime);
    Run.takeTally();
    Sent.offer(Drawn.Kind, seconds(8));
    EXPECT_GE(Sent.servedShare(),
              Drawn.Kind == Load::Sound ? UndisturbedShare : MinServedShare);
    const std::vector<Time> &Crashes = Run.crashes();
    const std::size_t PerPart = Drawn.Kind == Load::WithTwoBadParts ? 2 : 1;
    const std::size_t Fifth = Wave + 5 * PerPart;
    if (Crashes.size() < Fifth)
      continue;
    EXPECT_LE(sendsAfter(Run, Crashes[Fifth - 1] + Allowance),
              MaxLaterSends * static_cast<std::ptrdiff_t>(PerPart))
        << Crashes.size() << " crashes";
  }
}

INSTANTIATE_TEST_SUITE_P(All, SuspectedPartAtSize,
                         testing::Values(StandardSizes[0], StandardSizes[1]),
                         [](const auto &Info) { return sizeName(Info); });

} // namespace
} // namespace banyanpick
