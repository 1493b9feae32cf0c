/// \file
/// Guards against servers that send bytes without end in place of an answer:
/// they used up the memory of the reader or a whole processor core. Guards also
/// against interim answers that hide the final one.
#include "http/AnswerReader.h"
#include "EndlessAnswers.h"
#include "LocalServer.h"
#include "http/ClientStream.h"
#include "http/HttpClient.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

constexpr std::size_t MaxAnswerBytes = 64ULL * 1024;
/// Longer than a test may take, so that a read never ends by its timeout.
constexpr seconds Timeout(60);
constexpr seconds MaxReadTime(5);

struct Reading {
  ClientResult Result = ClientFailure::Lost;
  Duration Took{};
};

Reading readFrom(const RawServer &Server) {
  net::io_context Io;
  HttpClient Client(Io.get_executor(), MaxAnswerBytes);
  const auto Began = std::chrono::steady_clock::now();
  Reading Read;
  Read.Result = runTask(Io, Client.call(Server.at(), {}, Timeout));
  Read.Took = std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - Began);
  return Read;
}

std::string bodyOf(const ClientResult &Result) {
  const auto *Answer = std::get_if<ClientAnswer>(&Result);
  return Answer ? Answer->Body : "no answer";
}

const std::string Sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Returns whether the server sends a complete answer.
Task<bool> isComplete(ClientStream &Stream, Address At) {
  ClientRequest Wanted;
  Wanted.Target = "/x";
  const auto Failure =
      co_await Stream.open(At, std::move(Wanted), Timeout, Timeout);
  if (Failure)
    co_return false;
  const auto Rest = co_await Stream.readRest(MaxAnswerBytes);
  co_return Rest.second;
}

class EndlessFraming : public testing::TestWithParam<EndlessAnswer> {};

TEST_P(EndlessFraming, EndsTheCall) {
  const RawServer Server(GetParam().bytes());
  const Reading Read = readFrom(Server);
  EXPECT_TRUE(std::holds_alternative<ClientFailure>(Read.Result));
  EXPECT_LT(Read.Took, MaxReadTime);
}

TEST_P(EndlessFraming, EndsTheStream) {
  const RawServer Server(GetParam().bytes());
  net::io_context Io;
  ClientStream Stream(Io.get_executor(), MaxAnswerBytes);
  const auto Began = std::chrono::steady_clock::now();
  EXPECT_FALSE(runTask(Io, isComplete(Stream, Server.at())));
  EXPECT_LT(std::chrono::steady_clock::now() - Began, MaxReadTime);
}

INSTANTIATE_TEST_SUITE_P(All, EndlessFraming,
                         testing::ValuesIn(endlessFramings("text/plain")),
                         [](const auto &Info) {
                           return std::string(Info.param.Name);
                         });

TEST(InterimAnswers, PrecedeTheFinalOne) {
  for (const char *Interim :
       {"HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"}) {
    RawAnswer Late;
    Late.First = Interim;
    Late.Pause = milliseconds(200);
    Late.Then = Sound;
    EXPECT_EQ(bodyOf(readFrom(RawServer(Late)).Result), "ok") << Interim;
    RawAnswer AtOnce;
    AtOnce.First = Interim + Sound;
    EXPECT_EQ(bodyOf(readFrom(RawServer(AtOnce)).Result), "ok") << Interim;
  }
}

/// Nobody asks for another protocol: the bytes that follow are no HTTP, so they
/// are not read as the final answer either.
TEST(InterimAnswers, SwitchNoProtocol) {
  RawAnswer Answer;
  Answer.First =
      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n" + Sound;
  const Reading Read = readFrom(RawServer(Answer));
  EXPECT_TRUE(std::holds_alternative<ClientFailure>(Read.Result));
  EXPECT_LT(Read.Took, MaxReadTime);
}

/// Returns the body in chunks of random sizes, some with extensions, and
/// perhaps trailers.
std::string randomChunks(std::string_view Body) {
  std::string Result;
  while (!Body.empty()) {
    const auto Length = static_cast<std::size_t>(
        *rc::gen::inRange(1, static_cast<int>(Body.size()) + 1));
    Result += fmt::format("{:x}{}\r\n{}\r\n", Length,
                          *rc::gen::element<std::string>("", ";a", ";a=\"b\""),
                          Body.substr(0, Length));
    Body.remove_prefix(Length);
  }
  return Result + "0\r\n" + *rc::gen::element<std::string>("", "X-Sum: 1\r\n") +
         "\r\n";
}

RC_GTEST_PROP(AnswerReaderProperty, ReadsSoundAnswersInAnyFramingAndSplit, ()) {
  const std::string Body =
      *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
  const int InterimCount = *rc::gen::inRange(0, 4);
  std::string Bytes;
  for (int Count = 0; Count < InterimCount; ++Count)
    Bytes += "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n";
  if (*rc::gen::arbitrary<bool>())
    Bytes += chunkedHead("text/plain") + randomChunks(Body);
  else
    Bytes += fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                         Body.size(), Body);
  const auto Split = static_cast<std::size_t>(
      *rc::gen::inRange(0, static_cast<int>(Bytes.size())));
  RawAnswer Answer;
  Answer.First = Bytes.substr(0, Split);
  Answer.Pause = milliseconds(1);
  Answer.Then = Bytes.substr(Split);
  RC_ASSERT(bodyOf(readFrom(RawServer(Answer)).Result) == Body);
}

} // namespace
} // namespace banyanpick
