/// \file
/// Guards against answers that are none in HTTP and were taken for answers: the
/// status, the body or a header was not what the server meant.
#include "BrokenAnswers.h"
#include "LocalServer.h"
#include "http/ClientStream.h"
#include "http/HttpClient.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr std::size_t MaxAnswerBytes = 64ULL * 1024;
constexpr seconds Timeout(5);

ClientResult call(const RawServer &Server) {
  net::io_context Io;
  HttpClient Client(Io.get_executor(), MaxAnswerBytes);
  return runTask(Io, Client.call(Server.at(), {}, Timeout));
}

Task<bool> opens(ClientStream &Stream, Address At) {
  ClientRequest Wanted;
  Wanted.Target = "/x";
  const auto Failure =
      co_await Stream.open(At, std::move(Wanted), Timeout, Timeout);
  co_return !Failure;
}

class BrokenAnswers : public testing::TestWithParam<BrokenAnswer> {};

TEST_P(BrokenAnswers, FailTheCall) {
  const RawServer Server(GetParam().bytes());
  EXPECT_TRUE(std::holds_alternative<ClientFailure>(call(Server)));
}

TEST_P(BrokenAnswers, FailTheStream) {
  const RawServer Server(GetParam().bytes());
  net::io_context Io;
  ClientStream Stream(Io.get_executor(), MaxAnswerBytes);
  EXPECT_FALSE(runTask(Io, opens(Stream, Server.at())));
}

INSTANTIATE_TEST_SUITE_P(Status, BrokenAnswers,
                         testing::ValuesIn(brokenStatuses()));
INSTANTIATE_TEST_SUITE_P(Coding, BrokenAnswers,
                         testing::ValuesIn(brokenCodings()));
INSTANTIATE_TEST_SUITE_P(Folded, BrokenAnswers,
                         testing::ValuesIn(foldedLines()));
INSTANTIATE_TEST_SUITE_P(Name, BrokenAnswers, testing::ValuesIn(brokenNames()));
INSTANTIATE_TEST_SUITE_P(Cut, BrokenAnswers, testing::ValuesIn(cutHeads()));

TEST(FoldedLines, AreFoundInHeadsThatArriveInParts) {
  const std::string Bytes = foldedLines().front().Bytes;
  for (std::size_t Split = 1; Split < Bytes.size(); ++Split) {
    RawAnswer Answer;
    Answer.First = Bytes.substr(0, Split);
    Answer.Pause = milliseconds(5);
    Answer.Then = Bytes.substr(Split);
    Answer.Closes = true;
    const RawServer Server(Answer);
    EXPECT_TRUE(std::holds_alternative<ClientFailure>(call(Server))) << Split;
  }
}

TEST(SoundAnswers, HaveAnyStatusOfAnAnswer) {
  for (const unsigned Status : {200U, 299U, 302U, 404U, 421U, 599U}) {
    RawAnswer Answer;
    Answer.First = "HTTP/1.1 " + std::to_string(Status) +
                   " Odd\r\nContent-Length: 2\r\n\r\nok";
    const RawServer Server(Answer);
    const ClientResult Result = call(Server);
    ASSERT_TRUE(std::holds_alternative<ClientAnswer>(Result)) << Status;
    EXPECT_EQ(std::get<ClientAnswer>(Result).Status, Status);
  }
}

TEST(SoundAnswers, SpellTheCodingInAnyCase) {
  RawAnswer Answer;
  Answer.First =
      answerWith("transfer-encoding:  Chunked ", "2\r\nok\r\n0\r\n\r\n");
  const RawServer Server(Answer);
  const ClientResult Result = call(Server);
  ASSERT_TRUE(std::holds_alternative<ClientAnswer>(Result));
  EXPECT_EQ(std::get<ClientAnswer>(Result).Body, "ok");
}

} // namespace
} // namespace banyanpick
