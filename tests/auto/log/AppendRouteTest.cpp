/// \file
/// Guards against claims that are lost or run twice when few hosts append for
/// many, in particular when an appender dies with records of other hosts.
#include "harness/TestCatalogue.h"
#include "harness/VirtualDeployment.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

namespace banyanpick {
namespace {

constexpr int Hosts = 12;
constexpr std::size_t Appending = 3;

std::string hostName(int Number) { return fmt::format("h{:02}", Number); }

class AppendRouteTest : public testing::Test {
protected:
  AppendRouteTest() : Deployment(options()) {
    this->Deployment.addApplication("p1", TestService, "a");
    this->Deployment.seedCatalogue(testCatalogue({"t"}));
    for (int Number = 0; Number < Hosts; ++Number)
      this->Deployment.addHost(hostName(Number), Number % 2 == 0 ? "a" : "b");
    this->Deployment.runFor(seconds(15));
    this->Deployment.OnHandled = [this](const VirtualHost &Host, const Event &,
                                        Time,
                                        const std::vector<Action> &NewActions) {
      for (const Action &Requested : NewActions)
        if (std::holds_alternative<AppendToLog>(Requested))
          this->Appenders.insert(Host.name());
    };
  }

  static DeploymentOptions options() {
    DeploymentOptions Options;
    Options.Settings = {{"log", "appending_hosts", std::to_string(Appending)}};
    return Options;
  }

  /// Sends one confirmation request to each host.
  void confirmEverywhere(std::uint64_t FirstContent) {
    for (int Number = 0; Number < Hosts; ++Number) {
      RequestHead Head =
          testRequest("t", "confirm", 100, FirstContent + Number);
      Head.Streamed = false;
      Head.Operation = this->Deployment.makeOperationKey();
      this->Deployment.send(hostName(Number), Head);
    }
  }

  std::size_t completeAnswers() {
    std::size_t Count = 0;
    for (const CallerRecord &Caller : this->Deployment.callers())
      if (Caller.Answer &&
          std::holds_alternative<CompleteAnswer>(*Caller.Answer))
        ++Count;
    return Count;
  }

  VirtualDeployment Deployment;
  std::set<std::string> Appenders;
};

TEST_F(AppendRouteTest, FewHostsAppendForAll) {
  this->confirmEverywhere(1);
  this->Deployment.runFor(seconds(3));
  EXPECT_EQ(this->completeAnswers(), static_cast<std::size_t>(Hosts));
  EXPECT_LE(this->Appenders.size(), Appending);
  EXPECT_TRUE(this->Deployment.violations().empty());
}

TEST_F(AppendRouteTest, RecordsOfADeadAppenderAreHandedOverAgain) {
  this->confirmEverywhere(1);
  this->Deployment.runFor(seconds(3));
  ASSERT_FALSE(this->Appenders.empty());
  const std::string Dead = *this->Appenders.begin();
  this->Deployment.killHost(Dead);
  const std::size_t Before = this->completeAnswers();
  this->confirmEverywhere(100);
  this->Deployment.runFor(seconds(10));
  EXPECT_GE(this->completeAnswers(), Before + Hosts / 2);
  std::size_t Answered = 0;
  for (const CallerRecord &Caller : this->Deployment.callers())
    Answered += Caller.Answer ? 1 : 0;
  // Only the caller of the dead host gets no answer.
  EXPECT_GE(Answered, static_cast<std::size_t>(2 * Hosts - 1));
  EXPECT_TRUE(this->Deployment.violations().empty());
}

} // namespace
} // namespace banyanpick
