/// \file
/// Guards against upstreams that send bytes without end in place of an answer:
/// they used up the memory of the host or a processor core, and callers waited
/// beyond their deadlines.
#include "TestRelay.h"
#include "auto/http/EndlessAnswers.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr seconds MaxRunTime(5);

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
  const TestRelay Relayed(Engine);
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
  const TestRelay Relayed{RawServer(Stream)};
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
  const TestRelay Relayed{RawServer(Stream)};
  EXPECT_EQ(Relayed.body(), "data: a\n\n\n\r\n");
}

TEST(EngineRun, DeliversAStreamOfCommentsThatHasAnEnd) {
  RawAnswer Stream;
  Stream.First = chunkedHead("text/event-stream") + "5\r\n: a\n\n\r\n0\r\n\r\n";
  const TestRelay Relayed{RawServer(Stream)};
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
  TestRelayOptions Options;
  Options.MaxSilence = milliseconds(300);
  const TestRelay Relayed(Engine, Options);
  EXPECT_EQ(Relayed.brokenBy(), RelayBroken::Why::Silent);
  EXPECT_LT(Relayed.Took, MaxRunTime);
}

TEST(EngineRun, RelaysTheAnswerAfterInterimOnes) {
  RawAnswer Answer;
  Answer.First =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n";
  Answer.Pause = milliseconds(200);
  Answer.Then = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  const TestRelay Relayed{RawServer(Answer)};
  EXPECT_EQ(Relayed.body(), "ok");
}

} // namespace
} // namespace banyanpick
