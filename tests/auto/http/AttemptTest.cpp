/// \file
/// Tests the outcome for each way in which an attempt on an upstream can end,
/// and which chunks belong to the answer.
///
/// They guard against running a request twice or delivering a wrong answer,
/// when the connection breaks or an upstream sends an invalid stream.
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

const AttemptId OwnId{Incarnation(0xa), 7};
const Time Now(seconds(1'000'000));

PlatformSettings quickSettings() {
  PlatformSettings Result;
  Result.ConnectTimeout = seconds(2);
  return Result;
}

DispatchAttempt dispatchTo(const Address &At, std::uint64_t NextIndex = 0) {
  DispatchAttempt Result;
  Result.Attempt = OwnId;
  Result.At = At;
  Result.NextIndex = NextIndex;
  Result.Deadline = Now + seconds(5);
  return Result;
}

struct TextSink : ChunkSink {
  Task<void> take(std::uint64_t, std::string Chunk) override {
    this->Text += Chunk;
    co_return;
  }
  std::string Text;
};

struct EngineResult {
  AttemptOutcome Outcome;
  std::string Text;
  std::uint64_t Dropped = 0;
};

EngineResult runEngine(const DispatchAttempt &Dispatch) {
  net::io_context Io;
  const PlatformSettings Values = quickSettings();
  EngineAttempt Attempt(Io.get_executor(), Dispatch, HostId("h"), Values);
  TextSink Sink;
  AttemptOutcome Outcome = runTask(Io, Attempt.run("prompt", Sink, Now));
  return {std::move(Outcome), Sink.Text, Attempt.dropped()};
}

std::string chunk(const AttemptId &Id, std::uint64_t Index, char Text) {
  return fmt::format(
      "data: {{\"attempt\":\"{}\",\"index\":{},\"text\":\"{}\"}}\n\n",
      idText(Id), Index, Text);
}

std::string endMark(const AttemptId &Id, std::uint64_t Count) {
  return fmt::format(
      "event: end\ndata: {{\"attempt\":\"{}\",\"count\":{}}}\n\n", idText(Id),
      Count);
}

/// Runs an attempt on an engine that answers with these events.
EngineResult runWithEvents(std::string Events, std::uint64_t NextIndex = 0) {
  LocalServer Engine([&](HttpExchange &Exchange) -> Task<void> {
    co_await Exchange.beginEvents();
    co_await Exchange.sendEvents(Events);
    co_await Exchange.endEvents();
  });
  return runEngine(dispatchTo(Engine.at(), NextIndex));
}

/// Runs an attempt on an engine that answers with a status and a body.
AttemptOutcome outcomeOf(unsigned Status, std::string Body) {
  LocalServer Engine([&](HttpExchange &Exchange) -> Task<void> {
    HttpAnswer Answer;
    Answer.Status = Status;
    Answer.Body = Body;
    co_await Exchange.respond(std::move(Answer));
  });
  return runEngine(dispatchTo(Engine.at())).Outcome;
}

Address unusedAddress() {
  net::io_context Io;
  Tcp::acceptor Acceptor(Io, {net::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", Acceptor.local_endpoint().port()};
}

TEST(EngineAttempt, CompleteOnlyWithTheEndMark) {
  const EngineResult Result = runWithEvents(
      chunk(OwnId, 0, 'a') + chunk(OwnId, 1, 'b') + endMark(OwnId, 2));
  EXPECT_EQ(Result.Outcome, AttemptOutcome(AttemptComplete{2, ""}));
  EXPECT_EQ(Result.Text, "ab");
  EXPECT_EQ(runWithEvents(chunk(OwnId, 0, 'a')).Outcome,
            AttemptOutcome(AttemptBroken{1, false}));
  EXPECT_EQ(runWithEvents(chunk(OwnId, 0, 'a') + endMark(OwnId, 2)).Outcome,
            AttemptOutcome(AttemptBroken{1, false}));
}

TEST(EngineAttempt, ForeignAndRepeatedChunksAreDropped) {
  const AttemptId ForeignId{Incarnation(0xb), 7};
  const EngineResult Result = runWithEvents(
      chunk(OwnId, 2, 'c') + chunk(ForeignId, 3, 'x') + chunk(OwnId, 2, 'y') +
          endMark(ForeignId, 3) + chunk(OwnId, 3, 'd') + endMark(OwnId, 4),
      2);
  EXPECT_EQ(Result.Outcome, AttemptOutcome(AttemptComplete{4, ""}));
  EXPECT_EQ(Result.Text, "cd");
  EXPECT_EQ(Result.Dropped, 3U);
}

TEST(EngineAttempt, AGapBreaksTheStream) {
  const EngineResult Result = runWithEvents(
      chunk(OwnId, 0, 'a') + chunk(OwnId, 2, 'c') + endMark(OwnId, 3));
  EXPECT_EQ(Result.Outcome, AttemptOutcome(AttemptBroken{1, false}));
  EXPECT_EQ(Result.Text, "a");
}

TEST(EngineAttempt, DistinguishesErrorsOfTheEngine) {
  const std::string Failure = fmt::format(
      "event: error\ndata: {{\"attempt\":\"{}\",\"message\":\"m\"}}\n\n",
      idText(OwnId));
  EXPECT_EQ(runWithEvents(Failure).Outcome, AttemptOutcome(AttemptFailed{"m"}));
  EXPECT_EQ(outcomeOf(503, R"({"refused":"no-memory"})"),
            AttemptOutcome(AttemptRefused{AttemptRefused::Why::NoMemory}));
  EXPECT_EQ(outcomeOf(503, "busy"), AttemptOutcome(AttemptBroken{0, false}));
  EXPECT_EQ(outcomeOf(500, "{}"), AttemptOutcome(AttemptFailed{"status 500"}));
}

TEST(EngineAttempt, RefusedConnectionMeansNeverSent) {
  EXPECT_EQ(runEngine(dispatchTo(unusedAddress())).Outcome,
            AttemptOutcome(AttemptNeverSent{}));
}

/// The peer reads some bytes and closes the connection and the listener, so
/// that the request may have been started.
TEST(EngineAttempt, EngineThatDiesAfterSendingIsBroken) {
  net::io_context Io;
  Tcp::acceptor Listener(Io, {net::ip::make_address("127.0.0.1"), 0});
  const Address At{"127.0.0.1", Listener.local_endpoint().port()};
  std::thread Engine([&] {
    Tcp::socket Peer = Listener.accept();
    Listener.close();
    std::array<char, 16> Bytes{};
    Peer.read_some(net::buffer(Bytes));
  });
  const EngineResult Result = runEngine(dispatchTo(At));
  Engine.join();
  EXPECT_EQ(Result.Outcome, AttemptOutcome(AttemptBroken{0, true}));
}

RC_GTEST_PROP(EngineAttempt, AnyBytesGiveAnOutcome,
              (const std::string &Bytes)) {
  LocalServer Engine([&](HttpExchange &Exchange) -> Task<void> {
    co_await Exchange.beginEvents();
    co_await Exchange.sendEvents("data: " + Bytes + "\n\n");
    co_await Exchange.endEvents();
  });
  const EngineResult Result = runEngine(dispatchTo(Engine.at()));
  RC_ASSERT(std::holds_alternative<AttemptBroken>(Result.Outcome));
}

AttemptOutcome runService(const Address &At) {
  net::io_context Io;
  const PlatformSettings Values = quickSettings();
  ServiceCall Call(Io.get_executor(), dispatchTo(At), HostId("h"), Values);
  return runTask(Io, Call.run("key", "{}", Now));
}

TEST(ServiceCall, AcceptsOnlyTheResultOfItsOwnAttempt) {
  std::string Name = idText(OwnId);
  LocalServer Service([&](HttpExchange &Exchange) -> Task<void> {
    HttpAnswer Answer;
    Answer.Body = R"({"attempt":")" + Name + R"(","result":{"a":1}})";
    co_await Exchange.respond(std::move(Answer));
  });
  EXPECT_EQ(runService(Service.at()),
            AttemptOutcome(AttemptComplete{0, R"({"a":1})"}));
  Name = "b-7";
  EXPECT_EQ(runService(Service.at()), AttemptOutcome(AttemptBroken{0, false}));
}

TEST(LogClient, AppendIsAppendedOrRefusedOnlyIfCertain) {
  const AppendId Id(3);
  using enum AppendResult;
  const auto Meaning = [&](const ClientResult &Result) {
    return appendAnswerFrom(Id, Result).Result;
  };
  EXPECT_EQ(Meaning(ClientAnswer{200, R"({"offset":9})"}), Appended);
  EXPECT_EQ(Meaning(ClientAnswer{200, "{}"}), Unknown);
  EXPECT_EQ(Meaning(ClientAnswer{503, ""}), Refused);
  EXPECT_EQ(Meaning(ClientAnswer{500, ""}), Unknown);
  EXPECT_EQ(Meaning(ClientFailure::ConnectionRefused), Refused);
  EXPECT_EQ(Meaning(ClientFailure::Reset), Unknown);
  EXPECT_EQ(Meaning(ClientFailure::Lost), Unknown);
}

} // namespace
