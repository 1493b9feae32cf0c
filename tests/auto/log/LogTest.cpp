#include "auto/log/LogBench.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {

namespace {

constexpr std::uint64_t Life = 0xa1;

RecordId append(BenchHost &Host, std::uint64_t Content = 1) {
  return Host.call([&](Actions &Out) {
    return Host.services().get<LogWriter>().append(
        QuarantineRecord{Fingerprint(Content), 2, {}}, Host.Now, Out);
  });
}

/// Returns how often the observers received the record.
std::size_t timesRead(BenchHost &Host, const RecordId &Id) {
  const auto &Read = Host.probe().Read;
  return static_cast<std::size_t>(
      std::count_if(Read.begin(), Read.end(), [&](const StoredRecord &Stored) {
        return Stored.Record.Id == Id;
      }));
}

struct LogTest : testing::Test {
  LogServiceModel Log;
  BenchHost Host{Log, "h1", Life};

  void SetUp() override { this->Host.catchUp(); }
};

} // namespace

TEST_F(LogTest, BatchesRecordsWhileAnAppendIsInFlight) {
  for (int Count = 0; Count < 50; ++Count)
    append(this->Host);
  this->Host.settle();
  EXPECT_EQ(this->Host.probe().Read.size(), 50u);
  EXPECT_LE(this->Log.end(), 4u)
      << "fifty records were sent in too many appends";
}

TEST_F(LogTest, SettlesALostAnswerByReading) {
  const RecordId Id = append(this->Host);
  this->Host.advance(milliseconds(1));
  this->Host.answerAppend(AppendOutcome::LostAnswer);
  EXPECT_TRUE(this->Host.probe().Settled.empty());
  EXPECT_EQ(this->Host.services().get<LogWriter>().unsettled(), 1u);
  this->Host.settle();
  ASSERT_EQ(this->Host.probe().Settled.size(), 1u);
  EXPECT_EQ(this->Host.probe().Settled[0], std::pair(Id, true));
  EXPECT_EQ(this->Host.services().get<LogWriter>().unsettled(), 0u);
  EXPECT_EQ(timesRead(this->Host, Id), 1u) << "the record was appended again";
}

TEST_F(LogTest, RepeatsAMissingRecordUnderTheSameId) {
  const RecordId Id = append(this->Host);
  this->Host.advance(milliseconds(1));
  this->Host.answerAppend(AppendOutcome::LostAppend);
  this->Host.settle();
  this->Host.settle();
  EXPECT_EQ(timesRead(this->Host, Id), 1u);
  EXPECT_EQ(this->Host.probe().Settled.back(), std::pair(Id, true));
}

TEST_F(LogTest, NeverReportsAnUnansweredAppendAsNotAppended) {
  const RecordId Id = append(this->Host);
  this->Host.advance(milliseconds(1));
  this->Host.answerAppend(AppendOutcome::Late);
  EXPECT_FALSE(this->Host.services().get<LogWriter>().withdraw(Id));
  this->Host.settle();
  EXPECT_TRUE(this->Host.probe().Settled.empty());
  this->Host.applyLateAppend();
  this->Host.settle();
  EXPECT_EQ(timesRead(this->Host, Id), 1u);
}

TEST_F(LogTest, WithdrawsRecordThatWasNeverSent) {
  append(this->Host);
  this->Host.advance(milliseconds(1));
  const RecordId Id = append(this->Host);
  EXPECT_TRUE(this->Host.services().get<LogWriter>().withdraw(Id));
  this->Host.settle();
  EXPECT_EQ(timesRead(this->Host, Id), 0u);
}

TEST_F(LogTest, CannotWithdrawRecordThatWaitsToBeSentAgain) {
  const RecordId Id = append(this->Host);
  this->Host.advance(milliseconds(1));
  this->Host.answerAppend(AppendOutcome::Late);
  for (int Round = 0; Round < 3; ++Round) {
    this->Host.advance(milliseconds(30));
    this->Host.answerRead();
  }
  EXPECT_FALSE(this->Host.services().get<LogWriter>().withdraw(Id));
  this->Host.settle();
  EXPECT_EQ(this->Log.end(), 1u) << "the withdrawn record was sent again";
}

TEST_F(LogTest, DoesNotRepeatALease) {
  this->Host.call([&](Actions &Out) {
    return this->Host.services().get<LogWriter>().append(
        LeaderLease{UpstreamId("e"), HostId("h1"), Incarnation(Life), {}},
        this->Host.Now, Out);
  });
  this->Host.advance(milliseconds(1));
  this->Host.answerAppend(AppendOutcome::LostAppend);
  this->Host.settle();
  EXPECT_EQ(this->Log.end(), 1u);
}

TEST_F(LogTest, ReportsAnUnreachableLogAndItsRecovery) {
  auto &Writer = this->Host.services().get<LogWriter>();
  EXPECT_TRUE(Writer.isReachable(this->Host.Now));
  for (int Round = 0; Round < 8; ++Round) {
    this->Host.failRead();
    this->Host.advance(seconds(1));
  }
  EXPECT_FALSE(Writer.isReachable(this->Host.Now));
  this->Host.answerRead();
  EXPECT_TRUE(Writer.isReachable(this->Host.Now));
}

TEST_F(LogTest, EveryWakeUpMovesTheNextOneForward) {
  this->Host.probe().Members = {peerHeard("h2", this->Host.Now, {}, 0)};
  for (int Wake = 0; Wake < 50; ++Wake) {
    this->Host.failRead();
    this->Host.Now = this->Host.kernel().nextWake();
    this->Host.handle(Tick{});
    ASSERT_GT(this->Host.kernel().nextWake(), this->Host.Now) << Wake;
  }
}

TEST_F(LogTest, ReportsRecordsThatTheLogDropped) {
  for (int Count = 0; Count < 5; ++Count)
    this->Log.append({});
  this->Log.dropBefore(4);
  this->Host.catchUp();
  EXPECT_EQ(this->Host.probe().MissedUpTo, 4u);
  EXPECT_FALSE(this->Host.services().get<LogTail>().isComplete());
}

TEST_F(LogTest, ReadsThroughAPeerWhenTheLogIsUnreachable) {
  BenchHost Isolated(this->Log, "h2", 0xb2);
  Isolated.catchUp();
  const RecordId Id = append(this->Host);
  this->Host.settle();
  Isolated.probe().Members = {peerHeard("h1", Isolated.Now, Isolated.Now, 1)};
  for (int Round = 0; Round < 8; ++Round) {
    Isolated.failRead();
    Isolated.advance(seconds(1));
  }
  const auto Sent = Isolated.take<SendToPeer>();
  ASSERT_FALSE(Sent.empty());
  this->Host.handle(
      PeerMessageReceived{{HostId("h2"), Incarnation(0xb2), Sent.back().Body}});
  const auto Answer = this->Host.take<SendToPeer>();
  ASSERT_EQ(Answer.size(), 1u);
  const PeerMessageReceived Relayed{
      {HostId("h1"), Incarnation(Life), Answer[0].Body}};
  Isolated.handle(Relayed);
  Isolated.handle(Relayed);
  EXPECT_EQ(timesRead(Isolated, Id), 1u);
}

TEST_F(LogTest, RejectsALogWhoseEndRegressed) {
  append(this->Host);
  this->Host.settle();
  auto &Tail = this->Host.services().get<LogTail>();
  const Time Before = Tail.endReadAt();
  this->Host.advance(seconds(1));
  this->Host.handle(LogRead{{}, 1, 1, 1, 1});
  EXPECT_EQ(Tail.nextOffset(), 2u);
  EXPECT_EQ(Tail.endReadAt(), Before);
  const auto Counted = this->Host.take<RecordMeasurement>();
  EXPECT_TRUE(
      std::any_of(Counted.begin(), Counted.end(), [](const auto &Metric) {
        return Metric.Name == "log_went_back";
      }));
  EXPECT_EQ(this->Host.kernel().invariantsBroken(), 0u);
}

/// Guards against records that are lost or reordered by lost, refused and late
/// appends, and against reporting a record in the log as not appended.
RC_GTEST_PROP(LogProperty, RecordsArriveDespiteAnyOutcomeOfAppends, ()) {
  LogServiceModel Log;
  BenchHost Writer(Log, "h1", Life);
  BenchHost Reader(Log, "h2", 0xb2);
  std::vector<RecordId> Sent;
  const auto Steps =
      *rc::gen::container<std::vector<int>>(60, rc::gen::inRange<int>(0, 9));
  for (const int Step : Steps) {
    if (Step < 2)
      Sent.push_back(append(Writer));
    else if (Step < 7)
      Writer.answerAppend(static_cast<AppendOutcome>(Step - 2));
    else if (Step == 7)
      Writer.applyLateAppend();
    else
      Writer.answerRead();
    Writer.advance(milliseconds(Step * 5));
    Reader.catchUp();
  }
  for (int Round = 0; Round < 10; ++Round)
    Writer.settle();
  Reader.catchUp();
  for (const RecordId &Id : Sent)
    RC_ASSERT(timesRead(Writer, Id) >= 1u);
  for (const auto &[Id, Taken] : Writer.probe().Settled)
    RC_ASSERT(Taken || timesRead(Writer, Id) == 0u);
  RC_ASSERT(Reader.probe().Read == Writer.probe().Read);
  RC_ASSERT(Writer.kernel().invariantsBroken() == 0u);
}

} // namespace banyanpick
