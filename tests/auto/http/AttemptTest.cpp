/// \file
/// What each end of a try on an upstream is told as, and which chunks count.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "LocalServer.h"
#include "native/EngineAttempt.h"
#include "native/IdText.h"
#include "native/LogClient.h"
#include "native/ServiceCall.h"

#include <fmt/format.h>

using namespace banyanpick;

namespace {

const AttemptId Mine{Incarnation(0xa), 7};
const Time Now(seconds(1'000'000));

PlatformSettings quickSettings() {
  PlatformSettings Result;
  Result.ConnectTimeout = seconds(2);
  return Result;
}

DispatchAttempt dispatchTo(const Address &At, std::uint64_t NextIndex = 0) {
  DispatchAttempt Result;
  Result.Attempt = Mine;
  Result.At = At;
  Result.NextIndex = NextIndex;
  Result.Deadline = Now + seconds(5);
  return Result;
}

struct TextSink : ChunkSink {
  Task<void> take(std::uint64_t, std::string Piece) override {
    this->Text += Piece;
    co_return;
  }
  std::string Text;
};

struct EngineRun {
  AttemptOutcome Outcome;
  std::string Text;
  std::uint64_t Dropped = 0;
};

EngineRun runEngine(const DispatchAttempt &Wanted) {
  net::io_context Io;
  const PlatformSettings Values = quickSettings();
  EngineAttempt Try(Io.get_executor(), Wanted, HostId("h"), Values);
  TextSink Sink;
  AttemptOutcome Outcome = runTask(Io, Try.run("prompt", Sink, Now));
  return {std::move(Outcome), Sink.Text, Try.dropped()};
}

std::string chunk(const AttemptId &Of, std::uint64_t Index, char Text) {
  return fmt::format(
      "data: {{\"attempt\":\"{}\",\"index\":{},\"text\":\"{}\"}}\n\n",
      idText(Of), Index, Text);
}

std::string endMark(const AttemptId &Of, std::uint64_t Count) {
  return fmt::format(
      "event: end\ndata: {{\"attempt\":\"{}\",\"count\":{}}}\n\n", idText(Of),
      Count);
}

/// An engine that answers each completion with these events.
EngineRun runAgainst(std::string Events, std::uint64_t NextIndex = 0) {
  LocalServer Engine([&](HttpExchange &Each) -> Task<void> {
    co_await Each.beginEvents();
    co_await Each.sendEvents(Events);
    co_await Each.endEvents();
  });
  return runEngine(dispatchTo(Engine.at(), NextIndex));
}

/// An engine that answers with a status and a body.
AttemptOutcome outcomeOf(unsigned Status, std::string Body) {
  LocalServer Engine([&](HttpExchange &Each) -> Task<void> {
    HttpAnswer Answer;
    Answer.Status = Status;
    Answer.Body = Body;
    co_await Each.respond(std::move(Answer));
  });
  return runEngine(dispatchTo(Engine.at())).Outcome;
}

Address addressOfNobody() {
  net::io_context Io;
  Tcp::acceptor Taken(Io, {net::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", Taken.local_endpoint().port()};
}

TEST(EngineAttempt, WholeOnlyWithTheEndMark) {
  const EngineRun Run =
      runAgainst(chunk(Mine, 0, 'a') + chunk(Mine, 1, 'b') + endMark(Mine, 2));
  EXPECT_EQ(Run.Outcome, AttemptOutcome(AttemptComplete{2, ""}));
  EXPECT_EQ(Run.Text, "ab");
  EXPECT_EQ(runAgainst(chunk(Mine, 0, 'a')).Outcome,
            AttemptOutcome(AttemptBroken{1, false}));
  EXPECT_EQ(runAgainst(chunk(Mine, 0, 'a') + endMark(Mine, 2)).Outcome,
            AttemptOutcome(AttemptBroken{1, false}));
}

TEST(EngineAttempt, CrossedAndRepeatedChunksAreDropped) {
  const AttemptId Other{Incarnation(0xb), 7};
  const EngineRun Run = runAgainst(chunk(Mine, 2, 'c') + chunk(Other, 3, 'x') +
                                       chunk(Mine, 2, 'y') + endMark(Other, 3) +
                                       chunk(Mine, 3, 'd') + endMark(Mine, 4),
                                   2);
  EXPECT_EQ(Run.Outcome, AttemptOutcome(AttemptComplete{4, ""}));
  EXPECT_EQ(Run.Text, "cd");
  EXPECT_EQ(Run.Dropped, 3U);
}

TEST(EngineAttempt, AGapBreaksTheStream) {
  const EngineRun Run =
      runAgainst(chunk(Mine, 0, 'a') + chunk(Mine, 2, 'c') + endMark(Mine, 3));
  EXPECT_EQ(Run.Outcome, AttemptOutcome(AttemptBroken{1, false}));
  EXPECT_EQ(Run.Text, "a");
}

TEST(EngineAttempt, ErrorsOfTheEngineAreToldApart) {
  const std::string Failure = fmt::format(
      "event: error\ndata: {{\"attempt\":\"{}\",\"message\":\"m\"}}\n\n",
      idText(Mine));
  EXPECT_EQ(runAgainst(Failure).Outcome, AttemptOutcome(AttemptFailed{"m"}));
  EXPECT_EQ(outcomeOf(503, R"({"refused":"no-memory"})"),
            AttemptOutcome(AttemptRefused{AttemptRefused::Why::NoMemory}));
  EXPECT_EQ(outcomeOf(503, "busy"), AttemptOutcome(AttemptBroken{0, false}));
  EXPECT_EQ(outcomeOf(500, "{}"), AttemptOutcome(AttemptFailed{"status 500"}));
}

TEST(EngineAttempt, NothingListensMeansNeverSent) {
  EXPECT_EQ(runEngine(dispatchTo(addressOfNobody())).Outcome,
            AttemptOutcome(AttemptNeverSent{}));
}

/// A peer that reads what comes and closes, so that bytes were handed over.
TEST(EngineAttempt, AnEngineThatDiesAfterBytesWentOutIsBroken) {
  net::io_context Io;
  Tcp::acceptor Listener(Io, {net::ip::make_address("127.0.0.1"), 0});
  const Address At{"127.0.0.1", Listener.local_endpoint().port()};
  std::thread Engine([&] {
    Tcp::socket Peer = Listener.accept();
    Listener.close();
    std::array<char, 16> Some{};
    Peer.read_some(net::buffer(Some));
  });
  const EngineRun Run = runEngine(dispatchTo(At));
  Engine.join();
  EXPECT_EQ(Run.Outcome, AttemptOutcome(AttemptBroken{0, true}));
}

RC_GTEST_PROP(EngineAttempt, AnyBytesEndInAnOutcome,
              (const std::string &Bytes)) {
  LocalServer Engine([&](HttpExchange &Each) -> Task<void> {
    co_await Each.beginEvents();
    co_await Each.sendEvents("data: " + Bytes + "\n\n");
    co_await Each.endEvents();
  });
  const EngineRun Run = runEngine(dispatchTo(Engine.at()));
  RC_ASSERT(std::holds_alternative<AttemptBroken>(Run.Outcome));
}

AttemptOutcome runService(const Address &At) {
  net::io_context Io;
  const PlatformSettings Values = quickSettings();
  ServiceCall Call(Io.get_executor(), dispatchTo(At), HostId("h"), Values);
  return runTask(Io, Call.run("key", "{}", Now));
}

TEST(ServiceCall, ResultOfItsOwnAttemptOnly) {
  std::string Name = idText(Mine);
  LocalServer Service([&](HttpExchange &Each) -> Task<void> {
    HttpAnswer Answer;
    Answer.Body = R"({"attempt":")" + Name + R"(","result":{"a":1}})";
    co_await Each.respond(std::move(Answer));
  });
  EXPECT_EQ(runService(Service.at()),
            AttemptOutcome(AttemptComplete{0, R"({"a":1})"}));
  Name = "b-7";
  EXPECT_EQ(runService(Service.at()), AttemptOutcome(AttemptBroken{0, false}));
}

TEST(LogClient, AnAppendIsTakenOrRefusedOnlyWhenThatIsSure) {
  const AppendId Id(3);
  using enum AppendResult;
  const auto Meaning = [&](const ClientResult &Result) {
    return appendAnswerFrom(Id, Result).Result;
  };
  EXPECT_EQ(Meaning(ClientAnswer{200, R"({"offset":9})"}), Appended);
  EXPECT_EQ(Meaning(ClientAnswer{200, "{}"}), Unknown);
  EXPECT_EQ(Meaning(ClientAnswer{503, ""}), Refused);
  EXPECT_EQ(Meaning(ClientAnswer{500, ""}), Unknown);
  EXPECT_EQ(Meaning(ClientFailure::NothingListens), Refused);
  EXPECT_EQ(Meaning(ClientFailure::Reset), Unknown);
  EXPECT_EQ(Meaning(ClientFailure::Lost), Unknown);
}

} // namespace
