/// \file
/// Failures of real processes: kills, pauses, log outages and malformed input.
/// No assertion depends on the speed of the machine.
#include "process/Deployment.h"
#include "standins/HttpServer.h"
#include "standins/WireText.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <future>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick::process {
namespace {

using nlohmann::json;
using standins::Caller;
using standins::WorkItem;
using standins::WorkKind;
using standins::WorkResult;

/// Long enough to kill a process before the answer is complete.
constexpr std::uint64_t LongAnswerTokens = 400;

WorkItem longStream() {
  WorkItem Item;
  Item.Kind = WorkKind::Streamed;
  Item.Class = "short";
  Item.PromptTokens = 2'000;
  Item.OutputTokens = LongAnswerTokens;
  return Item;
}

WorkItem confirmation() {
  WorkItem Item;
  Item.Kind = WorkKind::Confirmation;
  Item.Class = "confirm";
  return Item;
}

std::string freshKey() {
  static std::uint64_t Counter = 1;
  return standins::makeOperationKey(standins::wallNow(),
                                    Counter++ * 0x9e3779b97f4a7c15);
}

void expectComplete(const WorkResult &Result) {
  EXPECT_EQ(Result.Ended, WorkResult::End::Complete) << Result.LastAnswer;
  EXPECT_FALSE(Result.Duplicated);
  EXPECT_FALSE(Result.Misrouted);
}

std::string answerOf(const standins::HttpReply &Reply) {
  const json Answer = Reply.parsed();
  return Answer.is_object() ? Answer.value("answer", "") : "";
}

/// Sends the bytes unchanged and disconnects.
void sendRaw(const std::string &Address, const std::string &Bytes) {
  boost::asio::io_context Io;
  boost::asio::ip::tcp::socket Socket(Io);
  boost::system::error_code Ignored;
  Socket.connect(standins::parseEndpoint(Address), Ignored);
  boost::asio::write(Socket, boost::asio::buffer(Bytes), Ignored);
}

class Failure : public testing::Test {
protected:
  /// Runs the item in a background thread.
  std::future<WorkResult> runInBackground(const WorkItem &Item) {
    return std::async(std::launch::async, [this, Item] {
      return Caller(this->HostResolver, Deployment::team()).run(Item);
    });
  }

  /// Returns the host that callers of the team use first.
  Member &firstHost() {
    const auto Addresses = this->HostResolver.hosts(Deployment::team().Name);
    for (std::size_t Index = 0; Index < Deployment::HostCount; ++Index)
      if (!Addresses.empty() &&
          this->Deployed.host(Index).Address == Addresses[0])
        return this->Deployed.host(Index);
    throw std::runtime_error("no host is named by resolve");
  }

  Deployment Deployed;
  standins::Resolver HostResolver = this->Deployed.resolver();
};

TEST_F(Failure, StreamIsCompleteAfterItsEntryHostIsKilled) {
  Member &ServingHost = this->firstHost();
  auto Result = this->runInBackground(longStream());
  this->Deployed.busyEngine();
  ServingHost.Process->kill();
  expectComplete(Result.get());
}

TEST_F(Failure, StreamIsCompleteAfterItsEngineIsKilled) {
  auto Result = this->runInBackground(longStream());
  this->Deployed.busyEngine().Process->kill();
  expectComplete(Result.get());
}

TEST_F(Failure, PlannedStopOfAHostInterruptsNoStream) {
  Member &ServingHost = this->firstHost();
  auto Result = this->runInBackground(longStream());
  this->Deployed.busyEngine();
  ServingHost.Process->signal(SIGTERM);
  const WorkResult Ended = Result.get();
  expectComplete(Ended);
  EXPECT_EQ(Ended.Restarted, 0U);
  EXPECT_EQ(ServingHost.Process->wait(), 0);
}

TEST_F(Failure, FrozenOwnerOfAClaimRunsItAtMostOnce) {
  const std::string Key = freshKey();
  // The owner is paused while its claim is being appended to the log.
  this->Deployed.setLogFaults({{"delay_ms", 1'000}});
  auto First = std::async(std::launch::async, [&] {
    return this->Deployed.sendConfirmation(0, Key);
  });
  std::this_thread::sleep_for(milliseconds(300));
  this->Deployed.host(0).Process->signal(SIGSTOP);
  this->Deployed.setLogFaults(json::object());
  std::this_thread::sleep_for(milliseconds(1'500));
  const std::string Second = answerOf(this->Deployed.sendConfirmation(1, Key));
  this->Deployed.host(0).Process->signal(SIGCONT);
  const std::string Owner = answerOf(First.get());
  const std::uint64_t Runs = this->Deployed.runCount(Key);
  EXPECT_LE(Runs, 1U) << Owner << " and " << Second;
  if (Owner == "whole" || Second == "whole") {
    EXPECT_EQ(Runs, 1U);
  }
  if (Owner == "not-run" && Second == "not-run") {
    EXPECT_EQ(Runs, 0U);
  }
}

TEST_F(Failure, LogOutageRefusesOnlyConfirmationsAndRunsNone) {
  const std::string Key = freshKey();
  this->Deployed.setLogFaults({{"down", true}});
  const std::string During = answerOf(this->Deployed.sendConfirmation(0, Key));
  EXPECT_NE(During, "whole");
  EXPECT_EQ(this->Deployed.runCount(Key), 0U) << During;
  WorkItem Idempotent = longStream();
  Idempotent.OutputTokens = 20;
  expectComplete(this->runInBackground(Idempotent).get());
  this->Deployed.setLogFaults(json::object());
  Caller Sender(this->HostResolver, Deployment::team());
  expectComplete(Sender.confirm(confirmation(), freshKey(), 0));
  EXPECT_EQ(this->Deployed.runCount(Key), 0U);
}

TEST_F(Failure, LostAnswersOfTheLogAreResolvedByReading) {
  this->Deployed.setLogFaults({{"lose_answers", 3}});
  const std::string Key = freshKey();
  Caller Sender(this->HostResolver, Deployment::team());
  expectComplete(Sender.confirm(confirmation(), Key, 0));
  EXPECT_EQ(this->Deployed.runCount(Key), 1U);
}

TEST_F(Failure, SameConfirmationAtAllHostsRunsOnce) {
  const std::string Key = freshKey();
  std::vector<std::future<WorkResult>> Sent;
  for (std::size_t Index = 0; Index < Deployment::HostCount; ++Index)
    Sent.push_back(std::async(std::launch::async, [this, Key, Index] {
      return Caller(this->HostResolver, Deployment::team())
          .confirm(confirmation(), Key, Index);
    }));
  for (auto &Pending : Sent)
    expectComplete(Pending.get());
  EXPECT_EQ(this->Deployed.runCount(Key), 1U);
}

TEST_F(Failure, HostServesAfterArbitraryBytesAtEveryPort) {
  rc::check("a host answers after arbitrary bytes", [this] {
    const auto Bytes = *rc::gen::container<std::string>(
        rc::gen::oneOf(rc::gen::arbitrary<char>(),
                       rc::gen::elementOf(std::string("GETPOST /{}\":\r\n"))));
    Member &Target = this->Deployed.host(0);
    sendRaw(Target.Address, Bytes);
    sendRaw(Target.Address, "POST /v1/completions HTTP/1.1\r\n\r\n" + Bytes);
    sendRaw(Target.Peers, Bytes);
    RC_ASSERT(Target.Process->isAlive());
  });
  expectComplete(this->runInBackground(longStream()).get());
  EXPECT_TRUE(this->Deployed.host(0).Process->isAlive());
}

} // namespace
} // namespace banyanpick::process
