/// \file
/// Guards against upstreams that send bytes without end in place of an answer:
/// they used up the memory of the host or a processor core, and callers waited
/// beyond their deadlines.
#include "relay/EngineRun.h"
#include "FakeEngineProtocol.h"
#include "auto/http/EndlessAnswers.h"
#include "auto/http/LocalServer.h"
#include "http/HttpClient.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr std::size_t MaxWholeAnswerBytes = 64ULL * 1024;
constexpr std::size_t MaxEventBytes = 64ULL * 1024;
/// Longer than a test may take, so that an attempt never ends by its timeout.
constexpr seconds Timeout(60);
constexpr seconds MaxRunTime(5);

/// Relays one request to an upstream, as a host without control does.
class Relay {
public:
  explicit Relay(const RawServer &Engine, Duration MaxSilence = Duration(0))
      : Host([this](HttpExchange &Exchange) { return this->serve(Exchange); }) {
    this->Order.At = Engine.at();
    this->Order.Stream = true;
    this->Order.MaxSilence = MaxSilence;
    net::io_context Io;
    HttpClient Caller(Io.get_executor(), MaxWholeAnswerBytes);
    ClientRequest Wanted;
    Wanted.Target = "/x";
    const auto Began = std::chrono::steady_clock::now();
    this->Answer = runTask(Io, Caller.call(this->Host.at(), Wanted, Timeout));
    this->Took = std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - Began);
  }

  std::string body() const {
    const auto *Got = std::get_if<ClientAnswer>(&this->Answer);
    return Got ? Got->Body : "no answer";
  }
  /// Why the attempt is broken, if it is.
  std::optional<RelayBroken::Why> brokenBy() const {
    const auto *Broken = std::get_if<RelayBroken>(&this->Outcome);
    return Broken ? std::optional(Broken->Reason) : std::nullopt;
  }

  ClientResult Answer = ClientFailure::Lost;
  RelayOutcome Outcome = RelayDelivered{};
  Duration Took{};
  std::atomic<bool> HasBegun = false; ///< Control was told of an event.

private:
  Task<void> serve(HttpExchange &Exchange) {
    constexpr std::size_t MaxIdleLinks = 4;
    EngineLinkPool Pool(Exchange.executor(), seconds(3), MaxIdleLinks);
    const EngineRunLimits Limits{Timeout, MaxWholeAnswerBytes, MaxEventBytes};
    const auto Side = std::make_shared<CallerSide>(Exchange, RequestId(1));
    const auto Run = std::make_shared<EngineRun>(
        Exchange.executor(), this->Order, Side, Pool, this->Protocol, Limits);
    EngineRunListener Callbacks;
    Callbacks.OnSignals = [](const AnswerSignals &) {};
    Callbacks.OnFirstEvent = [this] { this->HasBegun = true; };
    Callbacks.MaySend = [] { return true; };
    this->Outcome = co_await Run->run(Timeout, Callbacks);
    if (const auto *Failed = std::get_if<RelayFailed>(&this->Outcome))
      Side->refuse(errorAnswer(Failed->Status, ErrorKind::Internal, "failed"));
    else if (Side->hasBegun())
      Side->abort();
    else
      Side->refuse(errorAnswer(502, ErrorKind::Unavailable, "broken"));
    co_await Side->waitUntilFinished();
    co_await Side->sendFinalAnswer();
  }

  FakeEngineProtocol Protocol;
  DispatchRelay Order;
  LocalServer Host;
};

std::vector<EndlessAnswer> allEndlessAnswers() {
  std::vector<EndlessAnswer> Result;
  for (const EndlessAnswer &Item : endlessFramings("text/plain"))
    Result.push_back({"Whole", Item.First, Item.Repeated});
  const auto Streamed = endlessFramings("text/event-stream");
  Result.insert(Result.end(), Streamed.begin(), Streamed.end());
  const auto Events = endlessEvents();
  Result.insert(Result.end(), Events.begin(), Events.end());
  Result.push_back({"Body",
                    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
                    "xxxxxxxxxx"});
  Result.push_back({"FailureBody", "HTTP/1.1 500 Failed\r\n\r\n", "xxxxxxxxx"});
  return Result;
}

class EndlessEngine : public testing::TestWithParam<EndlessAnswer> {};

TEST_P(EndlessEngine, BreaksTheAttempt) {
  const RawServer Engine(GetParam().bytes());
  const Relay Relayed(Engine);
  EXPECT_TRUE(Relayed.brokenBy().has_value());
  EXPECT_LT(Relayed.Took, MaxRunTime);
  EXPECT_FALSE(Relayed.HasBegun) << "no event has arrived";
  const auto *Got = std::get_if<ClientAnswer>(&Relayed.Answer);
  ASSERT_NE(Got, nullptr) << "the caller gets a complete answer";
  EXPECT_EQ(Got->Status, 502U);
}

INSTANTIATE_TEST_SUITE_P(All, EndlessEngine,
                         testing::ValuesIn(allEndlessAnswers()),
                         [](const auto &Info) {
                           return Info.param.Name + std::to_string(Info.index);
                         });

const std::string EventsHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

TEST(EngineRun, PassesCommentsOnAtTheNextEvent) {
  RawAnswer Stream;
  Stream.First = EventsHead + ": hello\n\nid: 1\ndata: a\n\n: wait\n\n";
  Stream.Then = "id: 2\ndata: b\n\n: end\n\n";
  Stream.Closes = true;
  const Relay Relayed{RawServer(Stream)};
  EXPECT_EQ(Relayed.body(),
            ": hello\n\nid: 1\ndata: a\n\n: wait\n\n" + Stream.Then);
  EXPECT_TRUE(Relayed.HasBegun);
}

/// Guards against a sound stream that is broken because of the places at which
/// it was read.
TEST(EngineRun, DeliversAStreamThatEndsWithEmptyLines) {
  RawAnswer Stream;
  Stream.First = chunkedHead("text/event-stream") + "9\r\ndata: a\n\n\r\n";
  Stream.Pause = milliseconds(50);
  Stream.Then = "3\r\n\n\r\n\r\n0\r\n\r\n";
  const Relay Relayed{RawServer(Stream)};
  EXPECT_EQ(Relayed.body(), "data: a\n\n\n\r\n");
}

TEST(EngineRun, DeliversAStreamOfCommentsThatHasAnEnd) {
  RawAnswer Stream;
  Stream.First = chunkedHead("text/event-stream") + "5\r\n: a\n\n\r\n0\r\n\r\n";
  const Relay Relayed{RawServer(Stream)};
  EXPECT_EQ(Relayed.body(), ": a\n\n");
}

/// Comments are no progress: a stream that sends nothing else is silent.
TEST(EngineRun, IsSilentIfOnlyCommentsArrive) {
  RawAnswer Stream;
  Stream.First = EventsHead + "id: 1\ndata: a\n\n";
  Stream.Endless = ": x\n\n";
  // Far below the limit of an event within the test.
  Stream.PauseBetween = milliseconds(50);
  const RawServer Engine(Stream);
  const Relay Relayed(Engine, milliseconds(300));
  EXPECT_EQ(Relayed.brokenBy(), RelayBroken::Why::Silent);
  EXPECT_LT(Relayed.Took, MaxRunTime);
}

TEST(EngineRun, RelaysTheAnswerAfterInterimOnes) {
  RawAnswer Answer;
  Answer.First =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n";
  Answer.Pause = milliseconds(200);
  Answer.Then = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  const Relay Relayed{RawServer(Answer)};
  EXPECT_EQ(Relayed.body(), "ok");
}

} // namespace
} // namespace banyanpick
