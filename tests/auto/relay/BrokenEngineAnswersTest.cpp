/// \file
/// Guards against broken answers of upstreams that callers got as complete
/// ones.
#include "TestRelay.h"
#include "auto/http/BrokenAnswers.h"
#include "auto/http/EndlessAnswers.h"
#include "relay/EngineCalls.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr unsigned Ok = 200;
constexpr unsigned BadGateway = 502;

class BrokenEngineAnswers : public testing::TestWithParam<BrokenAnswer> {};

TEST_P(BrokenEngineAnswers, BreakTheAttempt) {
  const RawServer Engine(GetParam().bytes());
  const TestRelay Relayed(Engine);
  EXPECT_TRUE(Relayed.brokenBy().has_value());
  EXPECT_EQ(Relayed.status(), BadGateway);
}

TEST_P(BrokenEngineAnswers, FailAReportOrOrder) {
  constexpr std::size_t MaxAnswerBytes = 64ULL * 1024;
  constexpr std::size_t MaxIdleLinks = 4;
  const RawServer Engine(GetParam().bytes());
  net::io_context Io;
  EngineLinkPool Pool(Io.get_executor(), seconds(3), MaxIdleLinks);
  EngineCalls Calls(Pool, MaxAnswerBytes);
  const ClientResult Result =
      runTask(Io, Calls.call(UpstreamId("e1"), Engine.at(), {}, seconds(5)));
  EXPECT_TRUE(std::holds_alternative<ClientFailure>(Result));
}

INSTANTIATE_TEST_SUITE_P(Status, BrokenEngineAnswers,
                         testing::ValuesIn(brokenStatuses()));
INSTANTIATE_TEST_SUITE_P(Coding, BrokenEngineAnswers,
                         testing::ValuesIn(brokenCodings()));
INSTANTIATE_TEST_SUITE_P(Folded, BrokenEngineAnswers,
                         testing::ValuesIn(foldedLines()));
INSTANTIATE_TEST_SUITE_P(Name, BrokenEngineAnswers,
                         testing::ValuesIn(brokenNames()));
INSTANTIATE_TEST_SUITE_P(Cut, BrokenEngineAnswers,
                         testing::ValuesIn(cutHeads()));

// --- Answers that come while the request is still being written.

/// More than the buffers of a connection take while the upstream reads nothing.
constexpr std::size_t UploadBytes = 4ULL * 1024 * 1024;

TestRelayOptions upload(std::size_t Bytes) {
  TestRelayOptions Result;
  Result.RequestBytes = Bytes;
  return Result;
}

const std::string HeadWithoutLength = "HTTP/1.1 200 OK\r\n\r\n";

/// The bytes of an answer without a length, and the time until it is cut.
struct EarlyAnswer {
  std::string Name;
  std::string Bytes;
  Duration Pause{};
};

std::ostream &operator<<(std::ostream &Out, const EarlyAnswer &Item) {
  return Out << Item.Name;
}

std::vector<EarlyAnswer> earlyAnswers() {
  std::vector<EarlyAnswer> Result;
  for (const int PauseMs : {0, 100, 600}) {
    const auto After = "After" + std::to_string(PauseMs);
    const milliseconds Pause(PauseMs);
    Result.push_back({"Body" + After, HeadWithoutLength + "a part of", Pause});
    Result.push_back({"NoBody" + After, HeadWithoutLength, Pause});
    Result.push_back(
        {"Failure" + After, "HTTP/1.1 500 Failed\r\n\r\na part of", Pause});
  }
  return Result;
}

class EarlyAnswers : public testing::TestWithParam<EarlyAnswer> {};

TEST_P(EarlyAnswers, AreBrokenByAReset) {
  RawAnswer Answer;
  Answer.First = GetParam().Bytes;
  Answer.Pause = GetParam().Pause;
  Answer.Resets = true;
  const TestRelay Relayed(RawServer(Answer), upload(UploadBytes));
  EXPECT_EQ(Relayed.brokenBy(), RelayBroken::Why::Reset);
  EXPECT_EQ(Relayed.status(), BadGateway);
}

/// The end of the connection does not tell whether the answer was complete.
TEST_P(EarlyAnswers, AreBrokenByAClose) {
  RawAnswer Answer;
  Answer.First = GetParam().Bytes;
  Answer.Pause = GetParam().Pause;
  Answer.Closes = true;
  const TestRelay Relayed(RawServer(Answer), upload(UploadBytes));
  EXPECT_EQ(Relayed.brokenBy(), RelayBroken::Why::Reset);
  EXPECT_EQ(Relayed.status(), BadGateway);
}

INSTANTIATE_TEST_SUITE_P(All, EarlyAnswers, testing::ValuesIn(earlyAnswers()),
                         [](const auto &Info) { return Info.param.Name; });

TEST(EarlyStream, IsCutByAReset) {
  RawAnswer Stream;
  Stream.First = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
                 "id: 1\ndata: a\n\n";
  Stream.Pause = milliseconds(100);
  Stream.Resets = true;
  const TestRelay Relayed(RawServer(Stream), upload(UploadBytes));
  EXPECT_EQ(Relayed.brokenBy(), RelayBroken::Why::Reset);
  EXPECT_TRUE(Relayed.HasBegun);
  EXPECT_EQ(Relayed.status(), 0U) << "the stream must not look complete";
}

TEST(EarlyAnswer, WithALengthIsDelivered) {
  for (const std::string &Bytes :
       {std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
        chunkedHead("text/plain") + "2\r\nok\r\n0\r\n\r\n"}) {
    RawAnswer Answer;
    Answer.First = Bytes;
    Answer.Pause = milliseconds(100);
    Answer.Resets = true;
    const TestRelay Relayed(RawServer(Answer), upload(UploadBytes));
    EXPECT_EQ(Relayed.status(), Ok);
    EXPECT_EQ(Relayed.body(), "ok");
  }
}

/// A request of this size is written beside the answer, and at once.
constexpr std::size_t BufferedBytes = 20ULL * 1024;

TEST(AnswerWithoutLength, IsBrokenByAResetAfterTheRequest) {
  for (const std::size_t Bytes : {std::size_t(0), BufferedBytes}) {
    RawAnswer Answer;
    Answer.First = HeadWithoutLength + "a part of";
    Answer.Pause = milliseconds(100);
    Answer.Resets = true;
    const TestRelay Relayed(RawServer(Answer), upload(Bytes));
    EXPECT_EQ(Relayed.brokenBy(), RelayBroken::Why::Reset) << Bytes;
    EXPECT_EQ(Relayed.status(), BadGateway) << Bytes;
  }
}

TEST(AnswerWithoutLength, IsDeliveredIfTheRequestWasWritten) {
  constexpr int Runs = 50;
  RawAnswer Answer;
  Answer.First = HeadWithoutLength + "ok";
  Answer.Closes = true;
  for (int Run = 0; Run < Runs; ++Run) {
    const TestRelay Relayed(RawServer(Answer), upload(BufferedBytes));
    ASSERT_EQ(Relayed.status(), Ok);
    ASSERT_EQ(Relayed.body(), "ok");
  }
}

} // namespace
} // namespace banyanpick
