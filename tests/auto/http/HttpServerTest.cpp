/// \file
/// Tests that the server keeps serving within its limits under malformed
/// input, slow senders and many connections.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "LocalServer.h"
#include "RawPeer.h"
#include "http/BoundedJson.h"

using namespace banyanpick;

namespace {

/// Echoes the body.
Task<void> echo(HttpExchange &Exchange) {
  HttpAnswer Answer;
  Answer.Body = Exchange.body();
  co_await Exchange.respond(std::move(Answer));
}

std::string post(std::size_t Length, std::string_view Body) {
  return "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: " +
         std::to_string(Length) + "\r\n\r\n" + std::string(Body);
}

std::string answerTo(const Address &At, std::string_view Bytes) {
  RawPeer Peer(At);
  Peer.send(Bytes);
  return Peer.readAll();
}

bool stillServes(const Address &At) {
  return answerTo(At, post(2, "ok")).ends_with("\r\n\r\nok");
}

TEST(HttpServer, ReportsExceededLimitsWithTypedErrors) {
  LocalServer Server(echo);
  const auto Answer = [&](std::string_view Bytes) {
    return answerTo(Server.at(), Bytes);
  };
  EXPECT_NE(
      Answer("GET / HTTP/1.1\r\nX: " + std::string(4096, 'x')).find("431"),
      std::string::npos);
  EXPECT_NE(Answer(post(5000, "")).find("413"), std::string::npos);
  EXPECT_NE(Answer("nonsense\r\n\r\n").find(R"("kind":"bad-input")"),
            std::string::npos);
  EXPECT_NE(Answer("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
                .find("411"),
            std::string::npos);
  EXPECT_NE(Answer("GET /%zz HTTP/1.1\r\n\r\n").find("400"), std::string::npos);
  EXPECT_TRUE(stillServes(Server.at()));
}

TEST(HttpServer, DisconnectsSlowSenders) {
  LocalServer Server(echo);
  RawPeer SlowHeader(Server.at());
  SlowHeader.send("GET / HTT");
  RawPeer SlowBody(Server.at());
  SlowBody.send(post(10, "abc"));
  RawPeer Idle(Server.at());
  SlowHeader.readAll(); // Each returns only if the server closes.
  SlowBody.readAll();
  Idle.readAll();
  EXPECT_TRUE(stillServes(Server.at()));
}

TEST(HttpServer, ManyIdleConnectionsAreBounded) {
  LocalServer Server(echo);
  std::vector<std::unique_ptr<RawPeer>> Clients;
  constexpr int ClientCount = 64;
  Clients.reserve(ClientCount);
  for (int I = 0; I < ClientCount; ++I)
    Clients.push_back(std::make_unique<RawPeer>(Server.at()));
  for (const auto &Client : Clients)
    Client->readAll();
  EXPECT_LE(Server.server().connections(), smallLimits().MaxConnections);
  Clients.clear();
  EXPECT_TRUE(stillServes(Server.at()));
}

TEST(HttpServer, BodiesOfAllRequestsAreBounded) {
  LocalServer Server(echo);
  std::vector<std::unique_ptr<RawPeer>> Clients;
  for (int I = 0; I < 3; ++I) {
    Clients.push_back(std::make_unique<RawPeer>(Server.at()));
    Clients.back()->send(post(4096, "slow"));
  }
  std::string Answers;
  for (const auto &Client : Clients)
    Answers += Client->readAll();
  EXPECT_NE(Answers.find("503"), std::string::npos);
  // Hangs if a reservation is never released.
  while (Server.server().bodyBytes() != 0)
    std::this_thread::sleep_for(milliseconds(1));
  EXPECT_TRUE(stillServes(Server.at()));
}

/// Guards against a process that exits while its server has a request without
/// an answer, and against one that waits for connections that nobody uses.
TEST(HttpServer, StopAnswersWhatArrivesAndClosesIdleConnections) {
  constexpr seconds LongIdleTimeout(20);
  HttpSettings Values = smallLimits();
  Values.IdleTimeout = LongIdleTimeout;
  Values.BodyTimeout = LongIdleTimeout;
  LocalServer Server(
      [](HttpExchange &Exchange) -> Task<void> {
        net::steady_timer Work(Exchange.executor(), milliseconds(100));
        co_await Work.async_wait(net::use_awaitable);
        co_await echo(Exchange);
      },
      Values);
  RawPeer Unused(Server.at());
  RawPeer Idle(Server.at());
  Idle.send("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_TRUE(Idle.readSome().ends_with("ok"));
  RawPeer Served(Server.at());
  Served.send("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nok");
  RawPeer HalfRead(Server.at());
  HalfRead.send(post(4, "ha"));
  // Both requests must reach the server before it stops.
  std::this_thread::sleep_for(milliseconds(50));
  const Address At = Server.at();
  const auto StoppedAt = std::chrono::steady_clock::now();
  Server.stop();
  EXPECT_EQ(Unused.readAll(), "");
  EXPECT_EQ(Idle.readAll(), "");
  EXPECT_TRUE(Served.readAll().ends_with("\r\n\r\nok"));
  EXPECT_GT(Server.server().connections(), 0U);
  HalfRead.send("lf");
  EXPECT_TRUE(HalfRead.readAll().ends_with("\r\n\r\nhalf"));
  while (Server.server().connections() > 0 &&
         std::chrono::steady_clock::now() < StoppedAt + LongIdleTimeout)
    std::this_thread::sleep_for(milliseconds(1));
  EXPECT_LT(std::chrono::steady_clock::now(), StoppedAt + seconds(10));
  EXPECT_THROW(RawPeer{At}, boost::system::system_error);
}

/// Guards against a caller that loses its answer because it pauses while it
/// reads.
TEST(HttpServer, WaitsForACallerThatPausesWhileItReads) {
  constexpr std::size_t AnswerBytes = 256ULL * 1024;
  constexpr int SmallReceiveBuffer = 4096;
  HttpSettings Values = smallLimits();
  Values.WriteTimeout = seconds(10);
  LocalServer Server(
      [](HttpExchange &Exchange) -> Task<void> {
        HttpAnswer Answer;
        Answer.Body = std::string(AnswerBytes, 'x');
        co_await Exchange.respond(std::move(Answer));
      },
      Values);
  RawPeer Caller(Server.at(), SmallReceiveBuffer);
  Caller.send(post(0, ""));
  std::this_thread::sleep_for(seconds(4));
  EXPECT_GT(Caller.readAll().size(), AnswerBytes);
}

/// Serves one request with \p Serve and returns how its exchange ended. \p
/// Calls acts as the caller after the request was sent.
ExchangeEnd endOf(const LocalServer::Function &Serve,
                  const std::function<void(RawPeer &)> &Calls) {
  std::promise<ExchangeEnd> End;
  LocalServer Server([&](HttpExchange &Exchange) -> Task<void> {
    co_await Serve(Exchange);
    End.set_value(Exchange.end());
  });
  RawPeer Caller(Server.at());
  Caller.send(post(2, "ok"));
  Calls(Caller);
  return End.get_future().get();
}

/// Guards against a cut or missing answer that is counted as a complete one.
TEST(HttpServer, TellsHowExchangesEnd) {
  const auto Reads = [](RawPeer &Caller) { Caller.readAll(); };
  EXPECT_EQ(endOf(echo, Reads), ExchangeEnd::Complete);
  EXPECT_EQ(endOf([](HttpExchange &) -> Task<void> { co_return; }, Reads),
            ExchangeEnd::NoAnswer);
  const auto StreamThen = [](bool Ends, bool Aborts) {
    return [Ends, Aborts](HttpExchange &Exchange) -> Task<void> {
      co_await Exchange.beginEvents();
      co_await Exchange.sendEvents("data: x\n\n");
      if (Ends)
        co_await Exchange.endEvents();
      if (Aborts)
        Exchange.abort();
    };
  };
  EXPECT_EQ(endOf(StreamThen(true, false), Reads), ExchangeEnd::Complete);
  EXPECT_EQ(endOf(StreamThen(false, false), Reads), ExchangeEnd::Cut);
  EXPECT_EQ(endOf(StreamThen(false, true), Reads), ExchangeEnd::Cut);
}

/// Guards against a caller that leaves or does not read being counted as a
/// fault of the host, or the other way round.
TEST(HttpServer, TellsCallersThatLeaveFromThoseThatDoNotRead) {
  const auto WaitsForCaller = [](HttpExchange &Exchange) -> Task<void> {
    net::steady_timer Left(Exchange.executor(), seconds(5));
    Exchange.onDisconnect([&] {
      Left.cancel();
      Exchange.abort();
    });
    ErrorCode Ignored;
    co_await Left.async_wait(into(Ignored));
  };
  EXPECT_EQ(endOf(WaitsForCaller, [](RawPeer &Caller) { Caller.finish(); }),
            ExchangeEnd::CallerLeft);
  constexpr std::size_t MoreThanBuffersHold = 64ULL * 1024 * 1024;
  const auto SendsMuch = [](HttpExchange &Exchange) -> Task<void> {
    HttpAnswer Answer;
    Answer.Body = std::string(MoreThanBuffersHold, 'x');
    co_await Exchange.respond(std::move(Answer));
  };
  EXPECT_EQ(endOf(SendsMuch,
                  [](RawPeer &) {
                    const Duration Longer =
                        smallLimits().WriteTimeout + milliseconds(500);
                    std::this_thread::sleep_for(Longer);
                  }),
            ExchangeEnd::NotSent);
}

RC_GTEST_PROP(HttpServer, KeepsServingAfterAnyBytes,
              (const std::string &Bytes)) {
  static LocalServer Server(echo);
  const bool Framed = *rc::gen::arbitrary<bool>();
  RawPeer Peer(Server.at());
  Peer.send(Framed ? post(Bytes.size(), Bytes) : Bytes);
  Peer.finish();
  Peer.readAll();
  RC_ASSERT(stillServes(Server.at()));
}

TEST(BoundedJson, SmallTextsCannotBecomeLargeDocuments) {
  EXPECT_THROW(parseBoundedJson(std::string(100'000, '[')), Error);
  std::string Many = "[0";
  for (int I = 0; I < 60'000; ++I)
    Many += ",0";
  EXPECT_THROW(parseBoundedJson(Many + "]", MaxCallerJsonValues), Error);
  EXPECT_EQ(parseBoundedJson("[1]").dump(), "[1]");
}

RC_GTEST_PROP(BoundedJson, AnyBytesAreReadOrRefused,
              (const std::string &Bytes)) {
  try {
    parseBoundedJson(Bytes);
  } catch (const Error &Problem) {
    RC_ASSERT(Problem.kind() == ErrorKind::BadInput);
  }
}

} // namespace
