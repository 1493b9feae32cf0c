/// \file
/// End-to-end tests of a gateway with real processes: callers, hosts, upstreams
/// and the store.
#include "process/Deployment.h"
#include "process/GatewayDeployment.h"
#include "standins/GatewayDemo.h"
#include "standins/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <thread>

namespace banyanpick::process {
namespace {

using standins::demoStream;
using standins::HttpReply;

TEST(Gateway, RelaysAnswersAndStreamsWithTheTeamAndWithoutTheKey) {
  GatewayDeployment Gateway({"", ""});
  const HttpReply Whole = Gateway.ask(0, "/safe/x", "a1", "my words");
  EXPECT_EQ(Whole.Status, 200U);
  EXPECT_TRUE(Whole.Body.starts_with("house by u")) << Whole.Body;
  EXPECT_TRUE(Whole.Body.ends_with(": my words")) << Whole.Body;
  const HttpReply Stream = Gateway.ask(1, "/stream/x", "a2");
  EXPECT_TRUE(Stream.isComplete());
  EXPECT_EQ(Stream.Body, demoStream());
  EXPECT_FALSE(Gateway.anyUpstreamReceivedAKey());
}

TEST(Gateway, ResumesAStreamThatWasCutInTheMiddleOfAnEvent) {
  GatewayDeployment Gateway({"cut", ""});
  for (int Round = 0; Round < 8; ++Round) {
    const HttpReply Reply =
        Gateway.ask(0, "/stream/x", fmt::format("s{}", Round));
    EXPECT_TRUE(Reply.isComplete());
    EXPECT_EQ(Reply.Body, demoStream());
  }
}

TEST(Gateway, GoesOnWithAStreamThatFellSilent) {
  GatewayDeployment Gateway({"stall", ""});
  for (int Round = 0; Round < 4; ++Round) {
    const HttpReply Reply =
        Gateway.ask(0, "/stream/x", fmt::format("q{}", Round));
    EXPECT_TRUE(Reply.isComplete());
    EXPECT_EQ(Reply.Body, demoStream());
  }
}

TEST(Gateway, AStreamThatNobodyEndsDoesNotLookComplete) {
  GatewayDeployment Gateway({"cut", "cut", "cut"});
  const HttpReply Reply = Gateway.ask(0, "/stream/x", "s1");
  EXPECT_FALSE(Reply.isComplete());
  EXPECT_TRUE(demoStream().starts_with(Reply.Body)) << Reply.Body;
}

class GatewayFault : public testing::TestWithParam<const char *> {};

TEST_P(GatewayFault, IsHiddenFromSafeRequestsAndRunsNoOtherRequestTwice) {
  GatewayDeployment Gateway({GetParam(), ""});
  for (int Round = 0; Round < 6; ++Round) {
    const HttpReply Safe =
        Gateway.ask(0, "/safe/x", fmt::format("safe{}", Round));
    EXPECT_EQ(Safe.Status, 200U) << GetParam();
    EXPECT_TRUE(Safe.Body.ends_with(": hello")) << Safe.Body;
    const std::string Once = fmt::format("once{}", Round);
    const HttpReply Reply = Gateway.ask(1, "/once/x", Once);
    const int Runs = Gateway.runCount(Once);
    EXPECT_LE(Runs, 1) << GetParam();
    if (Reply.Status == 503)
      EXPECT_EQ(Runs, 0) << GetParam();
    if (Reply.Status == 200)
      EXPECT_TRUE(Reply.Body.ends_with(": hello")) << Reply.Body;
  }
}

INSTANTIATE_TEST_SUITE_P(All, GatewayFault,
                         testing::Values("cut", "error", "refuse", "foreign",
                                         "truncate", "unsealed"));

TEST(Gateway, BadInputIsAnsweredAtOnceAndNothingIsSent) {
  GatewayDeployment Gateway({""});
  EXPECT_EQ(Gateway.ask(0, "/nowhere/x", "b1").Status, 404U);
  EXPECT_EQ(
      Gateway.ask(0, "/safe/x", "b2", "", {{"Authorization", "Bearer no"}})
          .Status,
      401U);
  EXPECT_EQ(Gateway.ask(0, "/safe/x", "b3", std::string(70000, 'x')).Status,
            413U);
  EXPECT_EQ(
      Gateway.ask(0, "/safe/x", "b4", "", {{"X-Large", std::string(9000, 'x')}})
          .Status,
      431U);
  EXPECT_EQ(
      Gateway
          .ask(0, "/safe/x", "b5", "", {{"X-Remaining-Milliseconds", "soon"}})
          .Status,
      400U);
  for (const char *Attempt : {"b1", "b2", "b3", "b4", "b5"})
    EXPECT_EQ(Gateway.runCount(Attempt), 0) << Attempt;
  EXPECT_EQ(Gateway.ask(0, "/safe/x", "b6").Status, 200U);
}

TEST(Gateway, ANewVersionIsInForceEverywhereAndTakesRoutesAway) {
  GatewayDeployment Gateway({""});
  Gateway.configure(7, true);
  for (std::size_t Host = 0; Host < 2; ++Host)
    EXPECT_TRUE(eventually(
        [&] { return Gateway.ask(Host, "/extra/x", "c1").Status == 200; }));
  Gateway.configure(9, false);
  for (std::size_t Host = 0; Host < 2; ++Host)
    EXPECT_TRUE(eventually(
        [&] { return Gateway.ask(Host, "/extra/x", "c2").Status == 404; }));
}

TEST(Gateway, ServesDuringAStoreOutageAndCatchesUpAfterwards) {
  GatewayDeployment Gateway({""});
  Gateway.control("/standin/down?On=1");
  EXPECT_EQ(Gateway.ask(0, "/once/x", "d1").Status, 200U);
  Gateway.configure(7, true);
  Gateway.control("/standin/compact?Topic=keyed.op");
  Gateway.control("/standin/down?On=0");
  EXPECT_TRUE(eventually(
      [&] { return Gateway.ask(1, "/extra/x", "d2").Status == 200; }));
}

TEST(Gateway, AHostThatStopsLeavesTheDirectoryAndFinishesItsStreams) {
  GatewayDeployment Gateway({""});
  HttpReply Reply;
  std::thread Caller([&] { Reply = Gateway.ask(0, "/stream/x", "e1"); });
  std::this_thread::sleep_for(milliseconds(60));
  Gateway.host(0).Process->signal(SIGTERM);
  EXPECT_TRUE(eventually([&] { return Gateway.readiness(0) != 200; }));
  EXPECT_TRUE(eventually([&] {
    return Gateway.directory(1) ==
           std::vector<std::string>{Gateway.host(1).Callers};
  }));
  EXPECT_EQ(Gateway.ask(0, "/once/x", "e2").Status, 200U)
      << "callers that still use the address are served";
  Caller.join();
  EXPECT_EQ(Reply.Body, demoStream());
  EXPECT_EQ(Gateway.host(0).Process->wait(), 0);
}

TEST(Gateway, AKilledHostLeavesTheDirectoryAndAKilledUpstreamGetsNothing) {
  GatewayDeployment Gateway({"", ""});
  Gateway.host(0).Process->kill();
  EXPECT_TRUE(eventually([&] { return Gateway.directory(1).size() == 1; }));
  Gateway.upstream(0).Process->kill();
  for (int Round = 0; Round < 10; ++Round)
    EXPECT_EQ(Gateway.ask(1, "/once/x", fmt::format("f{}", Round)).Status,
              200U);
}

TEST(Gateway, KeepsServingAfterAReloadOfItsSettings) {
  GatewayDeployment Gateway({""}, 1);
  Gateway.host(0).Process->signal(SIGHUP);
  EXPECT_EQ(Gateway.ask(0, "/safe/x", "g1").Status, 200U);
  EXPECT_TRUE(Gateway.host(0).Process->isAlive());
}

/// Waits until the port accepts connections.
void waitForPort(const std::string &Address) {
  boost::asio::io_context Io;
  boost::system::error_code Failure;
  do {
    boost::asio::ip::tcp::socket Socket(Io);
    Socket.connect(standins::parseEndpoint(Address), Failure);
  } while (Failure);
}

/// Guards against a host that has callers and that a signal to reload its
/// settings ends, as it can't handle signals yet.
TEST(Gateway, SignalsToReloadDoNotEndAHostThatHasJustOpenedItsPort) {
  GatewayDeployment Gateway({""}, 1);
  GatewayDeployment::Host &Host = Gateway.host(0);
  for (int Round = 0; Round < 10; ++Round) {
    Host.Process->kill();
    Gateway.startHost(Host);
    waitForPort(Host.Callers);
    Host.Process->signal(SIGHUP);
    std::this_thread::sleep_for(milliseconds(30));
    ASSERT_TRUE(Host.Process->isAlive()) << "after start " << Round;
  }
  EXPECT_TRUE(eventually([&] { return Gateway.readiness(0) == 200; }));
}

TEST(Gateway, SignalsThatWaitedForAPausedHostDoNotEndIt) {
  GatewayDeployment Gateway({""});
  ChildProcess &Paused = *Gateway.host(0).Process;
  // Any thread may receive the signal, which interrupts its blocking call.
  for (int Round = 0; Round < 20; ++Round) {
    Paused.signal(SIGSTOP);
    Paused.signal(SIGHUP);
    std::this_thread::sleep_for(milliseconds(20));
    Paused.signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds(20));
    ASSERT_TRUE(Paused.isAlive()) << "after pause " << Round;
  }
  EXPECT_EQ(Gateway.ask(0, "/once/x", "p1").Status, 200U);
  Paused.signal(SIGSTOP);
  Paused.signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(50));
  Paused.signal(SIGCONT);
  EXPECT_EQ(Paused.wait(), 0);
}

/// Sends a complete request and disconnects without waiting for the answer.
void sendAndDisconnect(const std::string &Address, const std::string &Path,
                       int Number, Duration DisconnectAfter) {
  boost::asio::io_context Io;
  boost::asio::ip::tcp::socket Socket(Io);
  boost::system::error_code Ignored;
  Socket.connect(standins::parseEndpoint(Address), Ignored);
  const std::string Request = fmt::format(
      "POST {} HTTP/1.1\r\nHost: demo.example\r\n"
      "Authorization: Bearer demo-key\r\nX-Attempt-Id: left{}\r\n"
      "X-Remaining-Milliseconds: 3000\r\nContent-Length: 5\r\n\r\nhello",
      Path, Number);
  boost::asio::write(Socket, boost::asio::buffer(Request), Ignored);
  std::this_thread::sleep_for(DisconnectAfter);
}

TEST(Gateway, CallersThatLeaveAtOnceDoNotEndIt) {
  GatewayDeployment Gateway({"", ""});
  ChildProcess &Host = *Gateway.host(0).Process;
  constexpr int CallerCount = 8;
  std::vector<std::thread> Callers;
  Callers.reserve(CallerCount);
  for (int Caller = 0; Caller < CallerCount; ++Caller)
    Callers.emplace_back([&, Caller] {
      for (int Round = 0; Round < 300 && Host.isAlive(); ++Round)
        sendAndDisconnect(
            Gateway.host(0).Callers, Round % 2 ? "/once/x" : "/safe/x",
            Caller * 1000 + Round, std::chrono::microseconds(Round));
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  ASSERT_TRUE(Host.isAlive());
  EXPECT_EQ(Gateway.ask(0, "/once/x", "stayed").Status, 200U);
}

/// Guards against a stop that is lost when a reload is signalled directly
/// before it, so that the host takes requests until it is killed.
TEST(Gateway, StopsWhenAReloadWasSignalledDirectlyBefore) {
  constexpr int Rounds = 3;
  for (int Round = 0; Round < Rounds; ++Round) {
    GatewayDeployment Gateway({""}, 1);
    ASSERT_EQ(Gateway.ask(0, "/safe/x", "before").Status, 200U);
    ChildProcess &Host = *Gateway.host(0).Process;
    Host.signal(SIGSTOP); // Both signals wait when the host goes on.
    Host.signal(SIGHUP);
    Host.signal(SIGTERM);
    Host.signal(SIGCONT);
    EXPECT_TRUE(eventually([&] { return !Host.isAlive(); }));
  }
}

TEST(Gateway, ShowsItsMetrics) {
  GatewayDeployment Gateway({""}, 1);
  Gateway.ask(0, "/safe/x", "h1");
  standins::OutgoingRequest Req;
  Req.Target = "/metrics";
  // The control thread counts the end shortly after the caller has its answer.
  std::string Page;
  EXPECT_TRUE(eventually([&] {
    Page = standins::sendHttpRequest(Gateway.host(0).Metrics, Req, seconds(5))
               .Body;
    return Page.find(
               "banyanpick_relays_ended_total{label=\"delivered\"} 1\n") !=
           std::string::npos;
  })) << Page;
  // Guards against requests whose end on the caller's connection is not
  // counted.
  EXPECT_NE(
      Page.find(
          "banyanpick_caller_answers_ended_total{label=\"complete\"} 1\n"),
      std::string::npos)
      << Page;
}

} // namespace
} // namespace banyanpick::process
