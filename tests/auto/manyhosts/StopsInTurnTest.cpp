/// \file
/// Guards against requests that are lost, and against callers that are not
/// served, while all hosts are stopped and started in turn under load. Answers
/// take long against the time that a stopping host has, prompts wait for
/// engines at the hosts, and callers keep the addresses of hosts for a while.
#include "auto/manyhosts/SimulationLoad.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

/// How long callers keep the addresses of hosts: most of them, and some.
constexpr seconds UsualListAge(1);
constexpr seconds LongListAge(3);
constexpr std::size_t LongListShare = 25; ///< One of so many callers.
constexpr seconds WarmUp(10);
/// The last answers end within it.
constexpr seconds CoolDown(12);
constexpr milliseconds RestartDelay(300);
constexpr milliseconds AnswerTime(3500);
/// Engines prefill one prompt after the other, so that long ones wait at hosts.
constexpr milliseconds PrefillTime(300);

struct StopPlan {
  const char *Name;
  SimulationSize Size;
  Duration StopInterval{};
  Duration LongPromptInterval{};
  double MinServedShare = 0;
};

/// Sends requests to hosts that callers remember, and stops the hosts in turn.
class RollingRestart {
public:
  RollingRestart(const StopPlan &Plan, std::uint64_t Seed)
      : Plan(Plan), Simulation(Plan.Size.Hosts, Plan.Size.Engines),
        Draws(Seed) {
    this->Simulation.publish(1);
    this->Simulation.setPrefill(PrefillTime);
    this->Simulation.run(seconds(5));
    this->refreshLists();
  }

  /// Returns the results of two rounds of stops.
  HostSimulation::Tally play() {
    this->load(WarmUp);
    this->Simulation.run(AnswerTime);
    this->Simulation.takeTally();
    this->Sent = 0;
    const std::size_t Stops = 2 * this->Plan.Size.Hosts;
    for (std::size_t Stop = 0; Stop < Stops; ++Stop) {
      const std::size_t Host = Stop % this->Plan.Size.Hosts;
      if (this->Simulation.isRunning(Host))
        this->Simulation.stop(Host);
      this->load(this->Plan.StopInterval);
    }
    this->load(CoolDown);
    this->Simulation.run(CoolDown);
    return this->Simulation.takeTally();
  }

  std::size_t sent() const { return this->Sent; }

private:
  void load(Duration For) {
    const Time Until = this->Simulation.now() + For;
    while (this->Simulation.now() < Until) {
      if (this->Simulation.now() >= this->ListedAt + UsualListAge)
        this->refreshLists();
      this->restartExited();
      this->sendOne();
      this->Simulation.run(this->Plan.Size.RequestInterval);
    }
  }

  void sendOne() {
    const bool IsLong = this->Simulation.now() >= this->NextLongAt;
    const auto &List =
        this->Draws.below(LongListShare) == 0 ? this->OldList : this->List;
    const std::size_t Host = List[this->Draws.below(List.size())];
    // The connection to an exited host is refused, and the caller asks another.
    if (!this->Simulation.isRunning(Host))
      return;
    ++this->Sent;
    if (!IsLong) {
      this->Simulation.sendRequest(Host, AnswerTime);
      return;
    }
    this->NextLongAt = this->Simulation.now() + this->Plan.LongPromptInterval;
    this->Simulation.sendLong(Host, AnswerTime);
  }

  void restartExited() {
    for (std::size_t Host = 0; Host < this->Simulation.size(); ++Host) {
      if (this->Simulation.isRunning(Host))
        continue;
      const auto [Exit, IsNew] =
          this->ExitedAt.try_emplace(Host, this->Simulation.now());
      if (this->Simulation.now() < Exit->second + RestartDelay)
        continue;
      this->ExitedAt.erase(Exit);
      this->Simulation.restart(Host);
    }
  }

  void refreshLists() {
    this->ListedAt = this->Simulation.now();
    std::vector<std::size_t> Named;
    for (std::size_t Host = 0; Host < this->Simulation.size() && Named.empty();
         ++Host)
      if (this->Simulation.isRunning(Host))
        Named = this->Simulation.resolvedHosts(Host);
    if (!Named.empty())
      this->List = Named;
    if (this->OldList.empty() ||
        this->ListedAt >= this->OldListedAt + LongListAge) {
      this->OldList = this->List;
      this->OldListedAt = this->ListedAt;
    }
  }

  StopPlan Plan;
  HostSimulation Simulation;
  Random Draws;
  std::vector<std::size_t> List;
  std::vector<std::size_t> OldList;
  Time ListedAt{};
  Time OldListedAt{};
  Time NextLongAt{};
  std::map<std::size_t, Time> ExitedAt;
  std::size_t Sent = 0;
};

class StopsInTurn : public testing::TestWithParam<StopPlan> {};

TEST_P(StopsInTurn, CutNoRequestOffAndServeNearlyAll) {
  for (std::uint64_t Seed = 1; Seed <= seedCount() / 4; ++Seed) {
    RollingRestart Restart(GetParam(), Seed);
    const HostSimulation::Tally Result = Restart.play();
    EXPECT_EQ(Result.CutOff, 0U) << "seed " << Seed;
    const double Served = static_cast<double>(Result.Answers.size()) /
                          static_cast<double>(Restart.sent());
    EXPECT_GE(Served, GetParam().MinServedShare) << "seed " << Seed;
  }
}

INSTANTIATE_TEST_SUITE_P(All, StopsInTurn,
                         testing::Values(StopPlan{"SevenHosts",
                                                  {7, 14, milliseconds(60)},
                                                  seconds(2),
                                                  milliseconds(900),
                                                  0.95},
                                         StopPlan{"SevenHostsAtOnce",
                                                  {7, 14, milliseconds(60)},
                                                  milliseconds(100),
                                                  milliseconds(900),
                                                  0.5},
                                         StopPlan{"SixteenHosts",
                                                  {16, 24, milliseconds(40)},
                                                  seconds(1),
                                                  milliseconds(600),
                                                  0.95}),
                         [](const testing::TestParamInfo<StopPlan> &Info) {
                           return std::string(Info.param.Name);
                         });

} // namespace
} // namespace banyanpick
