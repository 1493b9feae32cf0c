#include "auto/claims/ClaimBench.h"
#include "plugins/claims/ClaimTable.h"

#include <gtest/gtest.h>

namespace banyanpick {

namespace {

RefusalReason refusalReason(const FinalAnswer &Answer) {
  return std::get<NotRun>(Answer).Reason;
}

struct ClaimsTest : testing::Test {
  LogServiceModel Log;
  BenchHost A{Log, "a", 0xa1};
  BenchHost B{Log, "b", 0xb1};
  const OperationKey Key = keyMadeAt(A.Now, 1);
  const Request First = requestFor(Key, 1);
  const Request Again = requestFor(Key, 2);

  void SetUp() override {
    this->A.probe().Members = {peerHeard("b", this->A.Now, {}, 0)};
    this->B.probe().Members = {peerHeard("a", this->B.Now, {}, 0)};
    this->A.catchUp();
    this->B.catchUp();
  }

  void grantFirst() {
    claim(this->A, this->First);
    this->A.settle();
    ASSERT_TRUE(isGranted(this->A, this->First));
    this->B.settle();
  }
};

} // namespace

TEST_F(ClaimsTest, ResendToAnotherHostGetsTheRecordedResult) {
  this->grantFirst();
  dispatch(this->A, this->First);
  claim(this->B, this->Again);
  EXPECT_TRUE(std::holds_alternative<InProgress>(denialOf(B, Again)));
  finish(this->A, this->First, "chair 7");
  this->A.settle();
  this->B.settle();
  const Request Third = requestFor(this->Key, 3);
  claim(this->B, Third);
  EXPECT_EQ(std::get<CompleteAnswer>(denialOf(B, Third)).Result, "chair 7");
}

TEST_F(ClaimsTest, FirstOfTwoConcurrentClaimsInTheLogOwns) {
  claim(this->A, this->First);
  claim(this->B, this->Again);
  this->B.settle();
  this->A.settle();
  EXPECT_TRUE(isGranted(this->B, this->Again));
  EXPECT_TRUE(std::holds_alternative<InProgress>(denialOf(A, First)));
}

TEST_F(ClaimsTest, GrantsNothingBeforeTheClaimIsReadBack) {
  claim(this->A, this->First);
  this->A.answerAppend(AppendOutcome::Taken);
  EXPECT_FALSE(verdictOn(this->A, this->First));
  this->A.settle();
  EXPECT_TRUE(isGranted(this->A, this->First));
}

TEST_F(ClaimsTest, OutcomeStaysUnknownAfterTheOwnerDied) {
  this->grantFirst();
  this->B.probe().EndedIncarnations = {Incarnation(0xa1)};
  claim(this->B, this->Again);
  EXPECT_TRUE(std::holds_alternative<OutcomeUnknown>(denialOf(B, Again)));
  BenchHost Restarted(this->Log, "a", 0xa2);
  Restarted.catchUp();
  claim(Restarted, this->Again);
  EXPECT_TRUE(
      std::holds_alternative<OutcomeUnknown>(denialOf(Restarted, Again)));
}

TEST_F(ClaimsTest,
       UnreachableLogAfterSendingTheClaimEndsAsNotRunAndReleasesIt) {
  claim(this->A, this->First);
  this->A.answerAppend(AppendOutcome::Late);
  this->A.advance(seconds(3));
  EXPECT_EQ(refusalReason(denialOf(A, First)), RefusalReason::LogUnavailable);
  this->A.applyLateAppend();
  this->A.settle();
  this->A.settle();
  this->B.settle();
  EXPECT_FALSE(isGranted(this->A, this->First));
  claim(this->B, this->Again);
  this->B.settle();
  EXPECT_TRUE(isGranted(this->B, this->Again));
}

TEST_F(ClaimsTest, LateCopyOfAReleaseDoesNotFreeALaterClaim) {
  this->grantFirst();
  abandon(this->A, this->First);
  this->A.answerAppend(AppendOutcome::Late);
  this->A.settle();
  this->A.settle();
  claim(this->A, this->Again);
  this->A.settle();
  ASSERT_TRUE(isGranted(this->A, this->Again));
  dispatch(this->A, this->Again);
  this->A.applyLateAppend();
  this->B.settle();
  const Request Third = requestFor(this->Key, 3);
  claim(this->B, Third);
  EXPECT_TRUE(std::holds_alternative<InProgress>(denialOf(B, Third)));
}

TEST_F(ClaimsTest, OperationThatMayHaveRunIsNeverReleased) {
  this->grantFirst();
  dispatch(this->A, this->First);
  abandon(this->A, this->First);
  this->A.settle();
  this->B.settle();
  claim(this->B, this->Again);
  EXPECT_TRUE(std::holds_alternative<OutcomeUnknown>(denialOf(B, Again)));
}

TEST_F(ClaimsTest, OperationThatTheUpstreamRefusedIsReleased) {
  this->grantFirst();
  dispatch(this->A, this->First);
  endAttempt(this->A, this->First, AttemptRefused());
  abandon(this->A, this->First);
  this->A.settle();
  this->B.settle();
  claim(this->B, this->Again);
  this->B.settle();
  EXPECT_TRUE(isGranted(this->B, this->Again));
}

TEST_F(ClaimsTest, SameKeyOfAnotherTeamIsAnotherOperation) {
  this->grantFirst();
  finish(this->A, this->First, "ours");
  this->A.settle();
  const Request Others = requestFor(this->Key, 9, 1, "rival");
  claim(this->A, Others);
  this->A.settle();
  EXPECT_TRUE(isGranted(this->A, Others));
}

TEST_F(ClaimsTest, SameKeyWithOtherContentIsRefused) {
  this->grantFirst();
  const Request Other = requestFor(this->Key, 9, 2);
  claim(this->B, Other);
  EXPECT_EQ(refusalReason(denialOf(B, Other)), RefusalReason::BadRequest);
  claim(this->A, Other);
  EXPECT_EQ(refusalReason(denialOf(A, Other)), RefusalReason::BadRequest);
}

TEST_F(ClaimsTest, RefusesKeysOutsideTheWindow) {
  const auto ReasonFor = [&](Time CreatedAt, std::uint64_t Id) {
    const Request Req = requestFor(keyMadeAt(CreatedAt, 5), Id);
    claim(this->A, Req);
    return refusalReason(denialOf(this->A, Req));
  };
  EXPECT_EQ(ReasonFor(A.Now - std::chrono::hours(2), 10),
            RefusalReason::KeyTooOld);
  EXPECT_EQ(ReasonFor(A.Now + seconds(60), 11), RefusalReason::BadRequest);
  const Request NoKey = requestFor(OperationKey("chair-7"), 12);
  claim(this->A, NoKey);
  EXPECT_EQ(refusalReason(denialOf(A, NoKey)), RefusalReason::BadRequest);
}

TEST_F(ClaimsTest, WindowIsAtMostHalfOfTheRetention) {
  BenchHost C(this->Log, "c", 0xc1, {{"log.retention", "10s"}});
  C.catchUp();
  const Request Req = requestFor(keyMadeAt(C.Now - seconds(6), 1), 20);
  claim(C, Req);
  EXPECT_EQ(refusalReason(denialOf(C, Req)), RefusalReason::KeyTooOld);
}

TEST_F(ClaimsTest, NewHostClaimsNothingBeforeItHasReadTheLog) {
  this->grantFirst();
  BenchHost C(this->Log, "c", 0xc1);
  claim(C, this->Again);
  EXPECT_EQ(refusalReason(denialOf(C, Again)), RefusalReason::LogUnavailable);
  C.handle(LogRead{{}, 1, 1, 1, 2});
  const Request Third = requestFor(this->Key, 3);
  claim(C, Third);
  EXPECT_EQ(refusalReason(denialOf(C, Third)), RefusalReason::LogUnavailable);
}

TEST_F(ClaimsTest, SecondCopyOfALostClaimStaysLost) {
  ClaimTable Table;
  const ClaimRecord Winner{Key, TeamId("t"), HostId("a"), Incarnation(1), {}};
  const ClaimRecord Loser{Key, TeamId("t"), HostId("b"), Incarnation(2), {}};
  const RecordId WinnerId{Incarnation(1), 1};
  const RecordId LoserId{Incarnation(2), 1};
  EXPECT_EQ(Table.fold(WinnerId, Winner), ClaimFoldResult::Owns);
  EXPECT_EQ(Table.fold(LoserId, Loser), ClaimFoldResult::Lost);
  Table.fold(OutcomeRecord{Key, TeamId("t"), Incarnation(1),
                           OutcomeRecord::Kind::Released, "", 1});
  EXPECT_EQ(Table.fold(LoserId, Loser), ClaimFoldResult::Ignored);
  EXPECT_EQ(Table.fold(WinnerId, Winner), ClaimFoldResult::Ignored);
  EXPECT_EQ(Table.fold({Incarnation(2), 2}, Loser), ClaimFoldResult::Owns);
}

TEST_F(ClaimsTest, RefusesKeysWhoseClaimsMayHaveBeenMissed) {
  this->grantFirst();
  this->Log.append({});
  this->Log.dropBefore(3);
  BenchHost C(this->Log, "c", 0xc1);
  C.catchUp();
  C.handle(LogRead{{}, 3, 3, 3, 3});
  this->Log.append({});
  this->Log.append({});
  this->Log.dropBefore(5);
  C.catchUp();
  claim(C, this->Again);
  EXPECT_EQ(refusalReason(denialOf(C, Again)), RefusalReason::KeyTooOld);
  C.advance(seconds(30));
  C.settle();
  const Request Fresh = requestFor(keyMadeAt(C.Now, 8), 30);
  claim(C, Fresh);
  C.settle();
  EXPECT_TRUE(isGranted(C, Fresh));
}

TEST_F(ClaimsTest, PauseBeforeReadingBackGrantsNothing) {
  this->A.advance(milliseconds(30));
  claim(this->A, this->First);
  this->A.answerAppend(AppendOutcome::Taken);
  this->A.Now += std::chrono::hours(3);
  this->A.answerRead();
  EXPECT_EQ(refusalReason(denialOf(A, First)), RefusalReason::LogUnavailable);
}

TEST_F(ClaimsTest, ResultTooLongToKeepIsReportedAsFailed) {
  this->grantFirst();
  dispatch(this->A, this->First);
  finish(this->A, this->First, std::string(5000, 'x'));
  this->A.settle();
  this->B.settle();
  claim(this->B, this->Again);
  EXPECT_TRUE(std::holds_alternative<FailedAnswer>(denialOf(B, Again)));
}

TEST_F(ClaimsTest, RemovesOperationsWhoseKeysAreTooOld) {
  this->grantFirst();
  finish(this->A, this->First, "done");
  this->A.settle();
  this->A.advance(std::chrono::hours(2));
  claim(this->A, this->Again);
  EXPECT_EQ(refusalReason(denialOf(A, Again)), RefusalReason::KeyTooOld);
  EXPECT_EQ(this->A.kernel().invariantsBroken(), 0u);
}

} // namespace banyanpick
