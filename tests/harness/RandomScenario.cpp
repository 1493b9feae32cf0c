#include "harness/RandomScenario.h"

#include "harness/ScenarioRunner.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace banyanpick {

namespace {

constexpr const char *Deployment = R"(host h1 h2 zone a
host h3 zone b
host h4 zone c
engine e1 e2 zone a
engine e3 e4 zone b fencing no
engine e5 zone c memory 800000
engine e6 zone c empty fencing no
application p1 zone a
application p2 zone b
team house-1 house-2 house-3
)";

constexpr std::array Hosts = {"h1", "h2", "h3", "h4"};
constexpr std::array Engines = {"e1", "e2", "e3", "e4", "e5", "e6"};
constexpr std::array Applications = {"p1", "p2"};

/// Steps begin when the deployment has started up.
constexpr std::uint32_t WarmUpMs = 5000;
constexpr std::uint32_t RunMs = 60'000;
constexpr std::size_t StepsOfRun = 150;
/// Upper bound of the duration of a fault.
constexpr std::uint32_t LongestFaultMs = 20'000;

template <std::size_t Size>
std::string pick(const std::array<const char *, Size> &Choices,
                 std::uint32_t Number) {
  return Choices[Number % Size];
}

/// Writes random steps as scenario text.
class ScenarioWriter {
public:
  explicit ScenarioWriter(std::uint64_t Seed)
      : Text(fmt::format("set seed {}\n{}", Seed, Deployment)) {}

  void add(const RandomStep &Step) {
    this->StartMs = WarmUpMs + Step.AtMs % RunMs;
    this->EndMs = this->StartMs + 100 + Step.LengthMs % LongestFaultMs;
    this->Host = pick(Hosts, Step.Target);
    this->Engine = pick(Engines, Step.Target);
    this->Application = pick(Applications, Step.Target);
    constexpr std::uint32_t Kinds = 40;
    this->appendStep(Step.Kind % Kinds, Step);
  }

  std::string takeText() { return std::move(this->Text); }

private:
  void appendStep(std::uint32_t Kind, const RandomStep &Step) {
    if (Kind < 16)
      return this->appendRequest(Kind, Step);
    if (Kind < 26)
      return this->appendProcessFault(Kind);
    if (Kind < 32)
      return this->appendNetworkFault(Kind, Step);
    this->appendPlatformEvent(Kind, Step);
  }

  void appendRequest(std::uint32_t Kind, const RandomStep &Step) {
    const std::string Team = fmt::format("house-{}", 1 + Step.Other % 3);
    const bool IsResend = Kind >= 13 && !this->Confirmations.empty();
    const std::string Name = fmt::format("r{}", ++this->Requests);
    if (IsResend) {
      const auto &Original =
          this->Confirmations[Step.Other % this->Confirmations.size()];
      return this->appendLine(std::max(this->StartMs, Original.second),
                              fmt::format("resend {} via {} as {}",
                                          Original.first, this->Host, Name));
    }
    if (Kind >= 9) {
      this->Confirmations.emplace_back(Name, this->StartMs);
      return this->appendLine(this->StartMs,
                              fmt::format("send {} confirm via {} team {}",
                                          Name, this->Host, Team));
    }
    const bool Short = Kind < 6;
    const std::uint32_t Prompt = Short      ? 500 + Step.LengthMs % 4000
                                 : Kind < 8 ? 10'000 + Step.LengthMs * 3
                                            : 500'000 + Step.LengthMs * 10;
    const char *Class = Short ? "short" : Kind < 8 ? "long" : "review";
    const std::uint32_t Limit = Short ? 8'000 : Kind < 8 ? 200'000 : 1'000'000;
    this->appendLine(
        this->StartMs,
        fmt::format("send {} {} prompt {} output {} via {} team {}", Name,
                    Class, std::min(Prompt, Limit), 1 + Step.Other % 200,
                    this->Host, Team));
  }

  void appendProcessFault(std::uint32_t Kind) {
    switch (Kind) {
    case 16:
    case 17:
      return this->appendFault("kill " + this->Host, "restart " + this->Host);
    case 18:
    case 19:
      return this->appendFault("freeze " + this->Host, "thaw " + this->Host);
    case 20:
      return this->appendFault("stop " + this->Host, "restart " + this->Host);
    case 21:
      return this->appendFault("kill " + this->Engine,
                               "restart " + this->Engine);
    case 22:
      return this->appendFault("freeze " + this->Engine,
                               "thaw " + this->Engine);
    case 23:
      return this->appendFault("leave " + this->Engine,
                               "restart " + this->Engine);
    case 24:
      return this->appendFault("leave " + this->Application + " quietly",
                               "restart " + this->Application);
    default:
      return this->appendFault("kill " + this->Application,
                               "restart " + this->Application);
    }
  }

  void appendNetworkFault(std::uint32_t Kind, const RandomStep &Step) {
    const std::string Peer = pick(Hosts, Step.Other);
    const std::string Upstream = Step.Other % 2 == 0
                                     ? pick(Engines, Step.Other / 2)
                                     : pick(Applications, Step.Other / 2);
    const std::string Ends = Kind == 26   ? this->Host + " " + Peer
                             : Kind == 27 ? this->Host + " log"
                             : Kind == 28 ? this->Host + " hostlist"
                                          : this->Host + " " + Upstream;
    if (Kind == 30)
      return this->appendLine(this->StartMs, fmt::format("delay {} {}ms", Ends,
                                                         Step.LengthMs % 400));
    if (Kind == 31)
      return this->appendFault(
          fmt::format("cut {} to {}", Upstream, this->Host),
          fmt::format("heal {} {}", Upstream, this->Host));
    this->appendFault("cut " + Ends, "heal " + Ends);
  }

  void appendPlatformEvent(std::uint32_t Kind, const RandomStep &Step) {
    switch (Kind) {
    case 32:
      return this->appendFault("log down", "log up");
    case 33:
      return this->appendLine(this->StartMs, fmt::format("log lose-answers {}",
                                                         1 + Step.Other % 4));
    case 34:
      return this->appendLine(this->StartMs, fmt::format("log late {} {}ms",
                                                         1 + Step.Other % 3,
                                                         Step.LengthMs % 8000));
    case 35:
      return this->appendFault(
          fmt::format("log slow {}ms", Step.LengthMs % 900), "log slow 1ms");
    case 36:
      return this->appendLine(
          this->StartMs, fmt::format("lose answers {} 1", this->Application));
    case 37:
      return this->appendLine(
          this->StartMs,
          fmt::format(
              "lose {} {} {}",
              pick(std::array<const char *, 5>{"cross", "repeat", "truncate",
                                               "hold-answers", "order-answers"},
                   Step.Other),
              this->Engine, 1 + Step.Other % 5));
    case 38:
      return this->appendFault("lose peer-messages 0.3",
                               "lose peer-messages 0");
    default:
      return this->appendLine(
          this->StartMs,
          fmt::format("apply c{} team house-{} concurrent {} base {} via {}",
                      ++this->Changes, 1 + Step.Other % 3,
                      50 + Step.Target % 50, 1, this->Host));
    }
  }

  void appendLine(std::uint32_t When, const std::string &Command) {
    this->Text += fmt::format("at {}ms {}\n", When, Command);
  }
  void appendFault(const std::string &Fault, const std::string &Recovery) {
    this->appendLine(this->StartMs, Fault);
    this->appendLine(this->EndMs, Recovery);
  }

  std::string Text;
  std::uint32_t StartMs = 0;
  std::uint32_t EndMs = 0;
  std::string Host;
  std::string Engine;
  std::string Application;
  std::uint32_t Requests = 0;
  std::uint32_t Changes = 0;
  std::vector<std::pair<std::string, std::uint32_t>> Confirmations;
};

} // namespace

std::vector<RandomStep> randomSteps(Random &Rng, std::size_t Count,
                                    std::uint32_t LengthMs) {
  const auto Draw = [&Rng] {
    return static_cast<std::uint32_t>(Rng.below(1U << 30));
  };
  std::vector<RandomStep> Steps;
  for (std::size_t Created = 0; Created < Count; ++Created)
    Steps.push_back(
        {Draw() % LengthMs, Draw(), Draw(), Draw(), Draw() % 60'000});
  return Steps;
}

std::string randomScenario(std::uint64_t Seed,
                           std::span<const RandomStep> Steps) {
  ScenarioWriter Writer(Seed);
  for (const RandomStep &Step : Steps)
    Writer.add(Step);
  return Writer.takeText();
}

RandomRunResult runRandomScenario(std::uint64_t Seed) {
  Random Rng(Seed);
  RandomRunResult Result;
  Result.Scenario = randomScenario(Seed, randomSteps(Rng, StepsOfRun, RunMs));
  ScenarioRunner Runner(Result.Scenario);
  Runner.run();
  Result.KernelSteps = Runner.kernelSteps();
  Result.Failures = Runner.failures();
  return Result;
}

} // namespace banyanpick
