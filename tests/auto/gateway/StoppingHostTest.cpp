/// \file
/// Guards against requests without a final answer, and against requests that
/// are sent to engines too late to end, on a host that stops.
///
/// The table below has one row for each state in which a request can be, and
/// one column for each phase of the host's stop. Each cell becomes one test.
#include "auto/gateway/GatewayBench.h"
#include "plugins/relays/AnswerTimes.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <ostream>
#include <set>

namespace banyanpick {
namespace {

/// What the caller of a request has at some time.
enum class CallerView {
  Untested, ///< The table has no entry.
  Waits,    ///< The request waits at the host.
  Runs,     ///< It was sent to an engine or another host and has no answer.
  NotRun,   ///< An answer promises that it did not and will not run.
  Unknown,  ///< An answer says that it may have run.
  BrokenOff ///< The connection was closed within an answer.
};

/// The time that answers on the tested routes take.
constexpr milliseconds TimeToFirstEvent(1000);
constexpr milliseconds TimeAfterFirstEvent(3000);
constexpr seconds RouteTimeLimit(60);
constexpr seconds FirstRemaining(60);
/// Clearly less than FirstRemaining, so that the request is a retry of its
/// caller, who is not asked to come back later.
constexpr seconds RetryRemaining(30);
constexpr int DeskEngines = 3;
/// After the records of the other engines.
constexpr LogOffset FirstDeskOffset = 100;
constexpr int RingEngines = 6;

/// A host that has answered requests on each route and has one stream that
/// nobody ends, so that it does not become idle.
class StopBench : public GatewayBench {
public:
  StopBench() {
    auto Declared =
        std::make_shared<GatewayConfiguration>(*gatewayDeclarations(1));
    for (RouteEntry &Route : Declared->Routes)
      Route.TimeLimit = RouteTimeLimit;
    this->send(
        GatewayEvent(ConfigurationRead{Declared, ConfigurationSource::Store}));
    this->registerEngines("ring", RingEngines);
    this->registerDesk();
    for (const char *Path : {"/safe/", "/once/", "/stream/", "/review/"})
      this->answerOne(Path);
    this->arrive("/stream/", 0, FirstRemaining);
    this->beginLast();
  }

  void beginLast() {
    this->send(GatewayEvent(RelayBegan{this->last<DispatchRelay>().Attempt}));
  }
  void endLast(RelayOutcome Outcome) {
    this->endAttempt(this->last<DispatchRelay>().Attempt, std::move(Outcome));
  }
  /// Sends a request that is answered whole after \p Takes.
  void answerCall(const char *Path, Duration Takes) {
    this->arrive(Path, 0, FirstRemaining);
    const AttemptId Attempt = this->last<DispatchRelay>().Attempt;
    this->advance(Takes);
    this->endAttempt(Attempt, RelayDelivered{});
  }
  /// Replaces the known times of answers, which are kept for two windows, by
  /// those of the requests that \p AnswerAll sends and answers.
  template <class Function> void renewAnswerTimes(Function AnswerAll) {
    constexpr seconds Window(31);
    this->advance(seconds(70));
    for (int Round = 0; Round < 2; ++Round) {
      AnswerAll();
      this->advance(Window);
    }
  }
  /// Makes all engines of the service `desk` ask for a backoff.
  void closeDesk() {
    for (int Number = 1; Number <= DeskEngines; ++Number)
      this->requestBackoff(UpstreamId("d" + std::to_string(Number)),
                           seconds(20));
  }
  CallerView viewOf(const RequestId &Id) const {
    if (this->hasAny<BreakRelay>(Id))
      return CallerView::BrokenOff;
    if (this->hasAny<DeliverFailure>(Id))
      return CallerView::Unknown;
    for (const RefuseRelay &Answer : this->all<RefuseRelay>())
      if (Answer.Request == Id)
        return Answer.Kind == RefusalKind::NotRun ? CallerView::NotRun
                                                  : CallerView::Unknown;
    return this->hasLiveAttempt(Id) ? CallerView::Runs : CallerView::Waits;
  }

  std::set<AttemptId> Ended; ///< Attempts that the test ended.

private:
  void registerDesk() {
    for (int Number = 1; Number <= DeskEngines; ++Number)
      this->registerEngineIn("z", ("d" + std::to_string(Number)).c_str(),
                             FirstDeskOffset + static_cast<LogOffset>(Number));
  }
  void answerOne(const char *Path) {
    this->arrive(Path, 0, FirstRemaining);
    this->advance(TimeToFirstEvent);
    if (std::string_view(Path).starts_with("/stream"))
      this->beginLast();
    this->advance(TimeAfterFirstEvent);
    this->endLast(RelayDelivered{});
  }
  template <class Kind> bool hasAny(const RequestId &Id) const {
    return std::ranges::count(this->all<Kind>(), Id, &Kind::Request) > 0;
  }
  bool hasLiveAttempt(const RequestId &Id) const {
    return std::ranges::any_of(
        this->all<DispatchRelay>(), [&](const DispatchRelay &Sent) {
          return Sent.Request == Id && !this->Ended.contains(Sent.Attempt);
        });
  }
};

RequestId arriveAtTurn(StopBench &Bench) {
  Bench.arrive("/review/", 300'000, RetryRemaining);
  return Bench.arrive("/review/", 300'000, RetryRemaining);
}

RequestId waitForEngine(StopBench &Bench) {
  Bench.closeDesk();
  return Bench.arrive("/once/", 0, RetryRemaining);
}

RequestId waitForMemory(StopBench &Bench) {
  return Bench.arrive("/review/", 700'000, RetryRemaining);
}

RequestId waitForRetry(StopBench &Bench) {
  const RequestId Id = Bench.arrive("/once/", 0, RetryRemaining);
  Bench.closeDesk();
  Bench.Ended.insert(Bench.last<DispatchRelay>().Attempt);
  Bench.endLast(RelayNotRun{});
  return Id;
}

RequestId waitAfterRun(StopBench &Bench) {
  const RequestId Id = Bench.arrive("/safe/", 0, RetryRemaining);
  Bench.closeDesk();
  Bench.Ended.insert(Bench.last<DispatchRelay>().Attempt);
  Bench.endLast(RelayBroken{RelayBroken::Why::Reset, false, std::nullopt});
  return Id;
}

RequestId sendOnce(StopBench &Bench) {
  return Bench.arrive("/once/", 0, FirstRemaining);
}

RequestId sendSafe(StopBench &Bench) {
  return Bench.arrive("/safe/", 0, FirstRemaining);
}

RequestId sendStream(StopBench &Bench) {
  return Bench.arrive("/stream/", 0, FirstRemaining);
}

RequestId beginStream(StopBench &Bench) {
  const RequestId Id = sendStream(Bench);
  Bench.beginLast();
  return Id;
}

RequestId takeOver(StopBench &Bench) {
  RelayHead Head = GatewayBench::headOf(RequestId(9000), "/once/");
  Head.Remaining = FirstRemaining;
  Head.IsForwarded = true;
  Bench.send(GatewayEvent(RelayArrived{Head}));
  return Head.Id;
}

RequestId forward(StopBench &Bench) {
  Bench.receive("h2", heartbeatOf("h2", 10));
  Bench.arrive("/once/", 0, FirstRemaining);
  Bench.endLast(RelayNeverSent{RelayNeverSent::Why::Refused});
  Bench.endLast(RelayNeverSent{RelayNeverSent::Why::Refused});
  const RequestId Id = Bench.arrive("/once/", 0, FirstRemaining);
  EXPECT_TRUE(Bench.last<DispatchRelay>().IsForward);
  return Id;
}

/// The phases of a stop, by the time since it was requested.
struct Phase {
  const char *Name;
  Duration Since;
};

constexpr std::array Phases{
    Phase{"Told", milliseconds(500)},      // Callers have its address.
    Phase{"TooShort", milliseconds(5000)}, // No time for a whole answer.
    Phase{"FinalAnswers", milliseconds(7220)},
    Phase{"Exiting", milliseconds(7600)}};

/// A state of a request and what its caller has in each phase. The request
/// enters the state before the stop, or within the phase.
struct State {
  const char *Name;
  RequestId (*Enter)(StopBench &);
  bool BeforeStop;
  std::array<CallerView, Phases.size()> Expected;
};

constexpr CallerView Waits = CallerView::Waits;
constexpr CallerView Runs = CallerView::Runs;
constexpr CallerView NotRun = CallerView::NotRun;
constexpr CallerView Unknown = CallerView::Unknown;
constexpr CallerView BrokenOff = CallerView::BrokenOff;

// clang-format off
constexpr std::array States{
    //                                           Told     TooShort  FinalAns.  Exiting
    State{"ArrivesOnce", sendOnce, false,       {Runs,    NotRun,   NotRun,    NotRun}},
    State{"ArrivesSafe", sendSafe, false,       {Runs,    NotRun,   NotRun,    NotRun}},
    State{"ArrivesStream", sendStream, false,   {Runs,    NotRun,   NotRun,    NotRun}},
    State{"ArrivesFromHost", takeOver, false,   {Runs,    NotRun,   NotRun,    NotRun}},
    State{"WaitsForTurn", arriveAtTurn, true,   {Waits,   NotRun,   NotRun,    NotRun}},
    State{"WaitsForEngine", waitForEngine, true,{Waits,   NotRun,   NotRun,    NotRun}},
    State{"WaitsForMemory", waitForMemory, true,{Waits,   NotRun,   NotRun,    NotRun}},
    State{"WaitsForRetry", waitForRetry, true,  {Waits,   NotRun,   NotRun,    NotRun}},
    State{"WaitsAfterRun", waitAfterRun, true,  {Waits,   Unknown,  Unknown,   Unknown}},
    State{"SentOnce", sendOnce, true,           {Runs,    Runs,     Unknown,   Unknown}},
    State{"SentSafe", sendSafe, true,           {Runs,    Runs,     Unknown,   Unknown}},
    State{"SentStream", sendStream, true,       {Runs,    Runs,     Unknown,   Unknown}},
    State{"SentToHost", forward, true,          {Runs,    Runs,     Unknown,   Unknown}},
    State{"Streams", beginStream, true,         {Runs,    Runs,     BrokenOff, BrokenOff}}};
// clang-format on

struct Cell {
  State Row;
  std::size_t Column;
};

std::ostream &operator<<(std::ostream &Out, const Cell &Printed) {
  return Out << Printed.Row.Name << " when " << Phases[Printed.Column].Name;
}

std::vector<Cell> cells() {
  std::vector<Cell> Result;
  for (const State &Row : States)
    for (std::size_t Column = 0; Column < Phases.size(); ++Column)
      Result.push_back({Row, Column});
  return Result;
}

std::string cellName(const testing::TestParamInfo<Cell> &Info) {
  return std::string(Info.param.Row.Name) + "When" +
         Phases[Info.param.Column].Name;
}

class StoppingHost : public testing::TestWithParam<Cell> {};

TEST_P(StoppingHost, GivesTheCallerWhatTheTableSays) {
  const auto &[Row, Column] = GetParam();
  StopBench Bench;
  RequestId Id;
  if (Row.BeforeStop)
    Id = Row.Enter(Bench);
  Bench.send(Event(StopRequest{}));
  Bench.advance(Phases[Column].Since);
  if (!Row.BeforeStop)
    Id = Row.Enter(Bench);
  EXPECT_EQ(Bench.viewOf(Id), Row.Expected[Column]);
  const bool Exits = std::string_view(Phases[Column].Name) == "Exiting";
  EXPECT_EQ(Bench.hasStopped(), Exits);
}

INSTANTIATE_TEST_SUITE_P(All, StoppingHost, testing::ValuesIn(cells()),
                         cellName);

/// Guards against late requests that are cut off because engines have become
/// slow since the host has last seen an answer.
TEST(StoppingHostLate, TakesOnlyWhatEndsInTimeEvenIfSlow) {
  constexpr milliseconds LongCall(1500);
  constexpr milliseconds ShortCall(100);
  StopBench Bench;
  Bench.renewAnswerTimes([&] {
    Bench.answerCall("/once/", LongCall);
    Bench.answerCall("/safe/", ShortCall);
  });
  Bench.send(Event(StopRequest{}));
  Bench.advance(milliseconds(2900));
  EXPECT_EQ(Bench.viewOf(sendOnce(Bench)), CallerView::Runs);
  Bench.advance(milliseconds(1100));
  EXPECT_EQ(Bench.viewOf(sendOnce(Bench)), CallerView::NotRun);
  Bench.advance(milliseconds(2000));
  EXPECT_EQ(Bench.viewOf(sendSafe(Bench)), CallerView::Runs);
}

/// Guards against streams that are cut off because the next answer of a route
/// takes far longer than all recent ones.
TEST(StoppingHostLate, TakesNoStreamThatMayOutlastIt) {
  constexpr milliseconds ShortAnswer(10);
  StopBench Bench;
  Bench.renewAnswerTimes([&] { Bench.answerCall("/stream/", ShortAnswer); });
  Bench.send(Event(StopRequest{}));
  Bench.advance(milliseconds(2900));
  EXPECT_EQ(Bench.viewOf(sendStream(Bench)), CallerView::Runs);
  Bench.advance(milliseconds(300));
  EXPECT_EQ(Bench.viewOf(sendStream(Bench)), CallerView::NotRun);
  const RequestId EndsInTime = Bench.arrive("/stream/", 0, seconds(3));
  EXPECT_EQ(Bench.viewOf(EndsInTime), CallerView::Runs);
}

/// Guards against requests that run and get no answer of their engine although
/// another host could have served them.
TEST(StoppingHostLate, LeavesWhatMayOutlastItToOtherHosts) {
  constexpr milliseconds ShortAnswer(10);
  for (const bool HasPeer : {false, true}) {
    StopBench Bench;
    Bench.renewAnswerTimes([&] { Bench.answerCall("/once/", ShortAnswer); });
    Bench.send(Event(StopRequest{}));
    Bench.advance(milliseconds(3200));
    if (HasPeer)
      Bench.receive("h2", heartbeatOf("h2", 10));
    EXPECT_EQ(Bench.viewOf(sendOnce(Bench)),
              HasPeer ? CallerView::NotRun : CallerView::Runs);
  }
}

/// Guards against answers that are given up because their engine was silent
/// while the host stopped.
TEST(StoppingHostSilence, IsNoReasonToLeaveAnEngine) {
  constexpr milliseconds ShortAnswer(10);
  StopBench Bench;
  Bench.renewAnswerTimes([&] { Bench.answerCall("/safe/", ShortAnswer); });
  Bench.send(Event(StopRequest{}));
  const RequestId Id = sendSafe(Bench);
  const AttemptId Attempt = Bench.last<DispatchRelay>().Attempt;
  Bench.advance(milliseconds(7150));
  EXPECT_EQ(Bench.last<DispatchRelay>().Attempt, Attempt);
  EXPECT_EQ(Bench.viewOf(Id), CallerView::Runs);
  Bench.endAttempt(Attempt, RelayDelivered{});
  for (const CancelRelay &Cancelled : Bench.all<CancelRelay>())
    EXPECT_NE(Cancelled.Attempt, Attempt);
}

/// Guards against long answers that are expected to end like the short ones of
/// their route.
TEST(StoppingHostEstimate, GrowsWithTheTokensOfTheAnswer) {
  constexpr std::uint64_t FewerTokens = 10;
  constexpr std::uint64_t FewTokens = 100;
  constexpr std::uint64_t ManyTokens = 1000;
  AnswerTimes Times;
  const Time Now(seconds(1000));
  Times.recordBegin("r", milliseconds(100), Now);
  Times.recordEnd("r", seconds(1), FewTokens, Now);
  EXPECT_EQ(Times.longest("r", Duration(0), FewTokens), milliseconds(1100));
  EXPECT_EQ(Times.longest("r", Duration(0), FewerTokens), milliseconds(1100))
      << "the tokens that a request names are a limit";
  EXPECT_EQ(Times.longest("r", Duration(0), ManyTokens), milliseconds(10'100));
  EXPECT_EQ(Times.longest("r", Duration(0), 0), milliseconds(1100));
  EXPECT_EQ(Times.longest("r", seconds(2), FewTokens), seconds(3));
}

/// Guards against requests that a stopping host takes and can't answer, with
/// answers whose lengths differ by a factor of a thousand.
RC_GTEST_PROP(StoppingHostProperty, AnswersCompletelyWhatItTakesLate, ()) {
  StopBench Bench;
  Bench.renewAnswerTimes([&] {
    for (const char *Path : {"/stream/", "/safe/", "/once/"})
      Bench.answerCall(Path, milliseconds(*rc::gen::inRange(1, 1000)));
  });
  Bench.send(Event(StopRequest{}));
  Bench.advance(milliseconds(*rc::gen::inRange(3000, 7000)));
  const bool HasPeer = *rc::gen::arbitrary<bool>();
  if (HasPeer)
    Bench.receive("h2", heartbeatOf("h2", 10));
  const char *Path = *rc::gen::element("/stream/", "/safe/", "/once/");
  const auto Remaining = milliseconds(*rc::gen::inRange(100, 15'000));
  const RequestId Id = Bench.arrive(Path, 0, Remaining);
  const bool IsSent = Bench.viewOf(Id) == CallerView::Runs;
  if (IsSent && std::string_view(Path) == "/stream/")
    Bench.beginLast();
  // No answer comes.
  Bench.advance(seconds(20));
  const CallerView View = Bench.viewOf(Id);
  RC_ASSERT(View != CallerView::Waits);
  RC_ASSERT(View != CallerView::Runs);
  // A stream is cut off at its deadline only.
  if (View == CallerView::BrokenOff)
    RC_ASSERT(Remaining <= milliseconds(4200));
  // Where another host stays, what may outlast this one is left to it.
  if (HasPeer && View == CallerView::Unknown)
    RC_ASSERT(Remaining <= milliseconds(4200));
}

/// Guards against callers that use up their retries at hosts that all stop.
TEST(StoppingHostRefusal, NamesWhenAHostIsBackIfNoOtherStays) {
  StopBench Alone;
  Alone.send(Event(StopRequest{}));
  Alone.advance(seconds(5));
  EXPECT_EQ(Alone.viewOf(sendOnce(Alone)), CallerView::NotRun);
  EXPECT_GE(Alone.last<RefuseRelay>().RetryAfter, seconds(1));
  EXPECT_LE(Alone.last<RefuseRelay>().RetryAfter, seconds(3));
  StopBench WithPeer;
  WithPeer.send(Event(StopRequest{}));
  WithPeer.advance(seconds(5));
  WithPeer.receive("h2", heartbeatOf("h2", 10));
  EXPECT_EQ(WithPeer.viewOf(sendOnce(WithPeer)), CallerView::NotRun);
  EXPECT_LE(WithPeer.last<RefuseRelay>().RetryAfter, milliseconds(100));
}

} // namespace
} // namespace banyanpick
