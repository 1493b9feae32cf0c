/// \file
/// Tests the return of hosts that lost their view of the engines' load while
/// callers keep sending requests.
#include "auto/manyhosts/SimulationLoad.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <memory>
#include <numeric>

namespace banyanpick {
namespace {

constexpr milliseconds Objective(300);
constexpr milliseconds Step(500);

/// A deployment whose engines are half full with short prompts.
class RestartReplay {
public:
  explicit RestartReplay(std::uint64_t Seed, const char *Limit = "3s",
                         const char *SlowStart = "2",
                         const char *AskInterval = "500ms")
      : Draws(Seed) {
    this->Simulation.setEngineLoad("warm_up_limit", Limit);
    this->Simulation.setEngineLoad("slow_start", SlowStart);
    this->Simulation.setEngineLoad("warm_up_ask_interval", AskInterval);
    for (std::size_t Host = 0; Host < this->Simulation.size(); ++Host)
      this->Simulation.restart(Host);
    this->Simulation.setPrefill(milliseconds(33));
    // The smallest link, and an eighth of a core for every third host.
    for (std::size_t Host = 0; Host < this->Simulation.size(); ++Host)
      this->Simulation.setResources(Host, {Host % 3 == 0 ? 0.12 : 0.5, 2.5e6});
    this->Simulation.publish(1);
    this->Simulation.run(seconds(15));
    this->Named = this->Simulation.resolvedHosts(0);
    this->offer(seconds(5));
    this->Simulation.takeTally();
  }

  /// Sends requests to the hosts that serve callers, chosen at random. Callers
  /// of a dead host choose another.
  void offer(Duration For) {
    const Time Until = this->Simulation.now() + For;
    while (this->Simulation.now() < Until) {
      std::size_t Host = this->draw();
      while (!this->IsDown && !this->Simulation.isRunning(Host))
        Host = this->draw();
      this->Simulation.sendRequest(Host,
                                   milliseconds(1600 + this->Draws.below(800)));
      this->Requested.push_back({this->Simulation.now(), Host});
      this->Simulation.run(
          Duration(this->Draws.below(2 * MeanIntervalUs / this->Rate)));
    }
  }

  /// Multiplies the rate of the requests.
  void setRate(std::uint64_t Factor) { this->Rate = Factor; }

  /// Returns the share of answers of the last measurement that began late,
  /// among the callers that were not asked to retry.
  double lateShare() const {
    const auto Late = std::ranges::count_if(
        this->Tally.Answers, [&](const HostSimulation::Answered &Answer) {
          return Answer.RequestedAt >= this->MeasuredFrom &&
                 Answer.Took > Objective && Answer.Took < seconds(1);
        });
    return static_cast<double>(Late) /
           static_cast<double>(
               std::max<std::size_t>(this->Tally.Answers.size(), 1));
  }

  void killAllFor(Duration For, HostSimulation::OrphanedWork Work) {
    this->Simulation.killAll(Work, this->Named);
    this->IsDown = true;
    this->offer(For);
    this->Simulation.restartAll();
    this->IsDown = false;
  }

  /// Sends requests for a while and returns, for each step, the share whose
  /// first token came in time.
  std::vector<double> measure(Duration For) {
    const Time From = this->Simulation.now();
    this->MeasuredFrom = From;
    while (this->Simulation.now() < From + For) {
      this->offer(Step);
      const auto Loads = this->Simulation.engineLoads();
      const double Mean = static_cast<double>(std::accumulate(
                              Loads.begin(), Loads.end(), std::size_t(0))) /
                          static_cast<double>(Loads.size());
      this->Unevenness.push_back(
          static_cast<double>(*std::ranges::max_element(Loads)) /
          std::max(Mean, 1.0));
    }
    this->Simulation.run(seconds(1));
    this->Tally = this->Simulation.takeTally();
    std::vector<double> Result;
    for (Time At = From; At < From + For; At += Step)
      Result.push_back(this->shareInTime(At));
    return Result;
  }

  std::size_t someHost() const { return this->Named.front(); }

  HostSimulation Simulation{80, 45};
  /// Of the last measurement.
  HostSimulation::Tally Tally;
  /// Load of the fullest engine as a multiple of the mean, after each step.
  std::vector<double> Unevenness;

private:
  static constexpr std::uint64_t MeanIntervalUs = 5555;

  struct Request {
    Time At{};
    std::size_t Host = 0;
  };

  std::size_t draw() {
    return this->Named[this->Draws.below(this->Named.size())];
  }

  double shareInTime(Time From) const {
    const auto IsWithin = [&](Time At) {
      return At >= From && At < From + Step;
    };
    const auto All =
        std::ranges::count_if(this->Requested, IsWithin, &Request::At);
    const auto InTime = std::ranges::count_if(
        this->Tally.Answers, [&](const HostSimulation::Answered &Answer) {
          return IsWithin(Answer.RequestedAt) && Answer.Took <= Objective;
        });
    return static_cast<double>(InTime) /
           static_cast<double>(std::max<std::ptrdiff_t>(All, 1));
  }

  Random Draws;
  std::vector<std::size_t> Named;
  std::vector<Request> Requested;
  Time MeasuredFrom{};
  std::uint64_t Rate = 1;
  bool IsDown = false;
};

using OrphanedWork = HostSimulation::OrphanedWork;

class RestartUnderLoad : public testing::TestWithParam<OrphanedWork> {};

/// Guards against hosts that return without a view of the load, regard all
/// engines as idle and choose the same few.
TEST_P(RestartUnderLoad, IsOverAfterTwoSeconds) {
  RestartReplay Replay(7);
  Replay.killAllFor(milliseconds(1100), GetParam());
  const std::vector<double> InTime = Replay.measure(seconds(4));
  for (std::size_t At = 4; At < InTime.size(); ++At)
    EXPECT_GE(InTime[At], 0.9) << "step " << At;
  // The first step includes hosts that are not ready yet.
  for (std::size_t At = 1; At < 4; ++At)
    EXPECT_GE(InTime[At], 0.8) << "step " << At;
  for (const double Fullest : Replay.Unevenness)
    EXPECT_LE(Fullest, 2.5);
  EXPECT_LE(lostRequests(Replay.Tally), 10U);
}

/// Guards against a burst of messages or of report requests at the return.
TEST_P(RestartUnderLoad, CausesNoBurstOfMessages) {
  RestartReplay Replay(7);
  Replay.measure(seconds(4));
  const std::uint64_t Usual = Replay.Tally.messages();
  Replay.killAllFor(milliseconds(1100), GetParam());
  Replay.measure(seconds(4));
  EXPECT_LE(Replay.Tally.messages(), Usual * 2);
  std::size_t Asked = 0;
  for (const auto &[Engine, Count] : Replay.Tally.ReportRequests) {
    EXPECT_LE(Count, 8U) << Engine.Value;
    Asked += Count;
  }
  EXPECT_LE(Asked, Replay.Simulation.engines() * 4);
}

/// Returns the replay of a power loss while the engines are full.
std::unique_ptr<RestartReplay> replayAtFullEngines(const char *WarmUpLimit,
                                                   const char *AskInterval) {
  auto Result =
      std::make_unique<RestartReplay>(7, WarmUpLimit, "2", AskInterval);
  Result->setRate(2);
  Result->offer(seconds(3));
  Result->Simulation.takeTally();
  Result->killAllFor(milliseconds(300), OrphanedWork::Runs);
  Result->measure(seconds(3));
  return Result;
}

/// Guards against requests that wait at full engines until their callers leave,
/// because the work of hosts that lost power still fills the engines.
TEST(RestartAtFullEngines, RefusesWhatWouldBeLate) {
  const auto Without = replayAtFullEngines("0s", "0s");
  const auto With = replayAtFullEngines("3s", "500ms");
  EXPECT_GT(With->Tally.RetryLaterAnswers, Without->Tally.RetryLaterAnswers);
  EXPECT_LT(With->lateShare(), Without->lateShare());
  EXPECT_LE(lostRequests(With->Tally), lostRequests(Without->Tally) / 4);
}

INSTANTIATE_TEST_SUITE_P(All, RestartUnderLoad,
                         testing::Values(OrphanedWork::Dropped,
                                         OrphanedWork::Runs),
                         [](const auto &Info) {
                           return Info.param == OrphanedWork::Dropped
                                      ? "Killed"
                                      : "PowerLoss";
                         });

void expectAllInTime(std::span<const double> InTime) {
  for (std::size_t At = 0; At < InTime.size(); ++At)
    EXPECT_GE(InTime[At], 0.95) << "step " << At;
}

TEST(LostView, OfOneNewHostDelaysNoRequests) {
  RestartReplay Replay(8);
  Replay.Simulation.kill(Replay.someHost());
  Replay.offer(milliseconds(1100));
  Replay.Simulation.restart(Replay.someHost());
  Replay.Simulation.run(milliseconds(200));
  expectAllInTime(Replay.measure(seconds(3)));
  EXPECT_TRUE(Replay.Tally.ReportRequests.empty())
      << "peers know the load of the engines";
}

TEST(LostView, OfAPausedHostDelaysNoRequestsAfterwards) {
  RestartReplay Replay(9);
  Replay.Simulation.pause(Replay.someHost(), milliseconds(1500));
  Replay.offer(milliseconds(1600));
  expectAllInTime(Replay.measure(seconds(3)));
}

/// Guards against spreading that outlasts the warm-up: short prompts leave the
/// last engines idle for long ones again.
void expectGathered(HostSimulation &Simulation) {
  Simulation.takeTally();
  offerLoad(Simulation, seconds(3), milliseconds(100));
  EXPECT_LE(Simulation.takeTally().Sent.size(), 5U);
}

/// Starts all hosts anew with a warm-up, which is off by default.
void restartWithWarmUp(HostSimulation &Simulation) {
  Simulation.setEngineLoad("warm_up_limit", "3s");
  for (std::size_t Host = 0; Host < Simulation.size(); ++Host)
    Simulation.restart(Host);
}

TEST(LostView, OfFewIdleHostsIsSoonComplete) {
  for (const std::size_t Hosts : {7, 9}) {
    SCOPED_TRACE(Hosts);
    HostSimulation Simulation(Hosts, 14);
    restartWithWarmUp(Simulation);
    Simulation.publish(1);
    Simulation.run(seconds(4));
    expectGathered(Simulation);
  }
}

TEST(LostView, OfAHostAloneIsSoonComplete) {
  HostSimulation Simulation(3, 14);
  restartWithWarmUp(Simulation);
  Simulation.kill(1);
  Simulation.kill(2);
  Simulation.publish(1);
  Simulation.run(seconds(4));
  expectGathered(Simulation);
}

/// Prints the figures of docs/design/restart-under-load.md. It checks nothing
/// and takes minutes, so it runs only on request.
TEST(RestartWays, DISABLED_ComparesWays) {
  struct Way {
    const char *Name;
    const char *Limit;
    const char *SlowStart;
    const char *AskInterval;
  };
  for (const Way &Tried :
       {Way{"none", "0s", "0", "0s"}, Way{"spread", "3s", "0", "0s"},
        Way{"spread, slow start", "3s", "2", "0s"},
        Way{"spread, slow start, reports", "3s", "2", "500ms"}})
    for (const OrphanedWork Work : {OrphanedWork::Dropped, OrphanedWork::Runs})
      for (const std::uint64_t Seed : {7, 8, 9}) {
        RestartReplay Replay(Seed, Tried.Limit, Tried.SlowStart,
                             Tried.AskInterval);
        Replay.killAllFor(milliseconds(1100), Work);
        const auto InTime = Replay.measure(seconds(4));
        std::printf("%s | %s | %lu | lost %zu |", Tried.Name,
                    Work == OrphanedWork::Dropped ? "killed" : "power loss",
                    Seed, lostRequests(Replay.Tally));
        for (const double Share : InTime)
          std::printf(" %.2f", Share);
        std::printf(" | fullest");
        for (const double Fullest : Replay.Unevenness)
          std::printf(" %.1f", Fullest);
        std::printf(" | messages %lu\n", Replay.Tally.messages());
      }
}

} // namespace
} // namespace banyanpick
