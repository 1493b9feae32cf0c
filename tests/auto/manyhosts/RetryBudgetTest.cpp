/// \file
/// Guards against repeats beyond the retry budget of all hosts together.
#include "auto/manyhosts/SimulationLoad.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace banyanpick {
namespace {

/// The retry budget: in each window a share of the requests, and a constant.
constexpr seconds Window(10);
constexpr double Ratio = 0.2;
constexpr double Constant = 100;

std::ptrdiff_t countFrom(const std::vector<Time> &Times, Time From) {
  const auto First = std::ranges::lower_bound(Times, From);
  const auto End = std::ranges::lower_bound(Times, From + Window);
  return End - First;
}

/// Returns by how much the repeats of any window exceed the budget. The
/// requests are those of the window, of the one before it or of the one half a
/// window before it.
double maxExcess(const HostSimulation &Simulation) {
  double Result = 0;
  for (const Time From : Simulation.repeatTimes()) {
    std::ptrdiff_t Requests = 0;
    for (const Time Start : {From, From - Window, From - Window / 2})
      Requests =
          std::max(Requests, countFrom(Simulation.requestTimes(), Start));
    const auto Repeats =
        static_cast<double>(countFrom(Simulation.repeatTimes(), From));
    Result = std::max(Result, Repeats - Ratio * static_cast<double>(Requests) -
                                  Constant);
  }
  return Result;
}

class RetryBudget : public testing::TestWithParam<SimulationSize> {
protected:
  RetryBudget() : Simulation(GetParam().Hosts, GetParam().Engines) {
    this->Simulation.publish(1);
    this->Simulation.run(seconds(25));
    this->offer(seconds(3));
  }

  void offer(Duration For) {
    offerLoad(this->Simulation, For, GetParam().RequestInterval);
  }
  void setAllFailing(bool On) {
    for (std::size_t Engine = 0; Engine < this->Simulation.engines(); ++Engine)
      this->Simulation.setFailing(Engine, On);
  }

  HostSimulation Simulation;
};

TEST_P(RetryBudget, IsKeptWhileAllEnginesFail) {
  this->setAllFailing(true);
  this->offer(seconds(12));
  EXPECT_GT(this->Simulation.repeatTimes().size(), 50U);
  EXPECT_EQ(maxExcess(this->Simulation), 0);
}

TEST_P(RetryBudget, IsKeptWhenAllHostsRestartWhileEnginesFail) {
  this->setAllFailing(true);
  this->offer(seconds(4));
  for (int Round = 0; Round < 2; ++Round) {
    restartAllUnderLoad(this->Simulation, GetParam().RequestInterval);
    this->offer(seconds(3));
  }
  EXPECT_EQ(maxExcess(this->Simulation), 0);
}

TEST_P(RetryBudget, IsKeptWhenHostsRestartInTurnWhileEnginesFail) {
  this->setAllFailing(true);
  this->offer(seconds(4));
  for (std::size_t Host = 0; Host < this->Simulation.size(); ++Host) {
    this->Simulation.kill(Host);
    this->offer(milliseconds(200));
    this->Simulation.restart(Host);
    this->offer(milliseconds(300));
  }
  EXPECT_EQ(maxExcess(this->Simulation), 0);
}

/// Requests that wait to be repeated reach the engines at the same moment.
TEST_P(RetryBudget, IsKeptWhenEnginesReturnTogether) {
  for (int Round = 0; Round < 6; ++Round) {
    this->setAllFailing(true);
    this->offer(seconds(1));
    this->setAllFailing(false);
    this->offer(seconds(1));
  }
  EXPECT_EQ(maxExcess(this->Simulation), 0);
}

INSTANTIATE_TEST_SUITE_P(All, RetryBudget,
                         testing::Values(StandardSizes[0], StandardSizes[1]),
                         [](const auto &Info) { return sizeName(Info); });

} // namespace
} // namespace banyanpick
