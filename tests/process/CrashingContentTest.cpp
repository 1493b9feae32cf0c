/// \file
/// A request that ends the process of each upstream that runs it.
#include "process/Deployment.h"
#include "process/GatewayDeployment.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <iostream>
#include <thread>

namespace banyanpick::process {
namespace {

constexpr std::size_t Hosts = 2;
constexpr int MaxRequests = 4;
/// Three crashes quarantine the content. Meanwhile each host may have sent it
/// once more.
constexpr std::ptrdiff_t MaxCrashes = 3 + Hosts;
constexpr unsigned NotRun = 503;
/// Until every host knows a crash. A process that dies may accept the first
/// report request, so that it is asked again.
constexpr milliseconds ConfirmationTime(500);

class CrashingContent : public testing::Test {
protected:
  void TearDown() override {
    if (HasFailure())
      std::cerr << "logs: " << this->Gateway.keepLogs() << '\n';
  }
  unsigned ask() {
    const std::string Attempt = fmt::format("c{}", ++this->Sent);
    const std::size_t Host = static_cast<std::size_t>(this->Sent) % Hosts;
    return this->Gateway.ask(Host, "/safe/x", Attempt, "crash").Status;
  }
  std::ptrdiff_t crashes() {
    std::ptrdiff_t Result = 0;
    for (std::size_t Index = 0; Index < this->Gateway.upstreams(); ++Index)
      Result += this->Gateway.upstream(Index).Process->isAlive() ? 0 : 1;
    return Result;
  }
  void restartAllHosts() {
    this->Gateway.restartAllHosts();
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      EXPECT_TRUE(eventually([&] {
        return this->Gateway.readiness(Host) == 200;
      })) << "host "
          << Host;
  }

  GatewayDeployment Gateway{std::vector<std::string>(6, "crash"), Hosts};
  int Sent = 0;
};

TEST_F(CrashingContent, IsRefusedAfterThreeCrashesAndARestartOfAllHosts) {
  unsigned Status = 0;
  while (Status != NotRun && this->Sent < MaxRequests) {
    Status = this->ask();
    std::this_thread::sleep_for(ConfirmationTime);
  }
  EXPECT_EQ(Status, NotRun);
  const std::ptrdiff_t Crashes = this->crashes();
  EXPECT_LE(Crashes, MaxCrashes);
  this->restartAllHosts();
  std::this_thread::sleep_for(ConfirmationTime);
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    EXPECT_EQ(this->ask(), NotRun);
  EXPECT_EQ(this->crashes(), Crashes);
}

} // namespace
} // namespace banyanpick::process
