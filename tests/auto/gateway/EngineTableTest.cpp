/// \file
/// Tests that the engine table does not depend on the source or order of
/// changes.
#include "plugins/engines/EngineTable.h"

#include "gateway/EngineIncarnation.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

const ServiceId Ring("ring");

EngineTable table() {
  return EngineTable(EngineTimes{seconds(2), seconds(60)});
}

Time at(int Ms) { return Time(seconds(100) + milliseconds(Ms)); }

EngineChange change(const char *Id, LogOffset Offset, bool Draining = false) {
  EngineChange Result;
  Result.Engine.Id = UpstreamId(Id);
  Result.Engine.Service = Ring;
  Result.Engine.Draining = Draining;
  Result.Offset = Offset;
  return Result;
}

EngineChange removal(const char *Id, LogOffset Offset) {
  EngineChange Result = change(Id, Offset);
  Result.Removed = true;
  return Result;
}

/// Generates the changes in random order.
rc::Gen<std::vector<EngineChange>> shuffled(std::vector<EngineChange> Given) {
  return rc::gen::exec([Given = std::move(Given)] {
    std::vector<EngineChange> Result = Given;
    for (std::size_t Remaining = Result.size(); Remaining > 1; --Remaining)
      std::swap(Result[Remaining - 1],
                Result[static_cast<std::size_t>(
                    *rc::gen::inRange(0, static_cast<int>(Remaining)))]);
    return Result;
  });
}

TEST(EngineTable, AnOlderChangeAfterANewerOneIsIgnored) {
  EngineTable Table = table();
  Table.apply(change("e1", 5, true), false, at(0));
  EXPECT_EQ(Table.apply(change("e1", 3), false, at(1)).Outcome,
            EngineTable::Effect::None);
  EXPECT_EQ(Table.find(UpstreamId("e1"))->Standing, EngineStanding::Leaving);
}

TEST(EngineTable, AnEngineThatAnnouncedLeavingStaysLeaving) {
  EngineTable Table = table();
  const UpstreamId Id("e1");
  Table.apply(change("e1", 1), false, at(0));
  EXPECT_TRUE(Table.noteLeaving(Id, at(1)));
  EXPECT_FALSE(Table.noteLeaving(Id, at(2))) << "already leaving";
  Table.apply(change("e1", 2), false, at(3));
  EXPECT_EQ(Table.find(Id)->Standing, EngineStanding::Leaving) << "renewed";
  Table.apply(removal("e1", 3), false, at(4));
  Table.apply(change("e1", 4), false, at(5));
  EXPECT_EQ(Table.find(Id)->Standing, EngineStanding::Leaving)
      << "registered again";
  EXPECT_FALSE(Table.noteLeaving(UpstreamId("e2"), at(6)));
  Table.apply(change("e2", 5), false, at(7));
  EXPECT_EQ(Table.find(UpstreamId("e2"))->Standing, EngineStanding::Leaving)
      << "announced before it was registered";
}

TEST(EngineTable, ANewIncarnationOfALeavingEngineIsUsable) {
  EngineTable Table = table();
  EngineChange Old = change("e1", 1);
  Old.Engine.Id = engineIncarnation("e1", 1000);
  Table.apply(Old, false, at(0));
  Table.noteLeaving(Old.Engine.Id, at(1));
  EngineChange New = change("e1", 2);
  New.Engine.Id = engineIncarnation("e1", 2000);
  Table.apply(New, false, at(2));
  EXPECT_EQ(Table.find(New.Engine.Id)->Standing, EngineStanding::Usable);
}

TEST(EngineTable, LateChangesDoNotRestoreARemovedEngine) {
  EngineTable Table = table();
  Table.apply(change("e1", 1), false, at(0));
  Table.apply(removal("e1", 5), false, at(1));
  EXPECT_EQ(Table.apply(change("e1", 4), false, at(2)).Outcome,
            EngineTable::Effect::None);
  EXPECT_EQ(Table.find(UpstreamId("e1")), nullptr);
}

TEST(EngineTable, ARemovalDuringAnOutageIsDelayedForTwoSeconds) {
  EngineTable Table = table();
  Table.apply(change("e1", 1), false, at(0));
  Table.apply(removal("e1", 2), true, at(10));
  EXPECT_EQ(Table.find(UpstreamId("e1"))->Standing, EngineStanding::Missing);
  EXPECT_TRUE(Table.expire(at(2009)).empty());
  EXPECT_EQ(Table.expire(at(2010)).size(), 1U);
  EXPECT_EQ(Table.find(UpstreamId("e1")), nullptr);
}

TEST(EngineTable, AMissingEngineThatRegistersAgainIsUsable) {
  EngineTable Table = table();
  Table.apply(change("e1", 1), false, at(0));
  Table.apply(removal("e1", 2), true, at(10));
  Table.apply(change("e1", 3), true, at(20));
  EXPECT_EQ(Table.find(UpstreamId("e1"))->Standing, EngineStanding::Usable);
  EXPECT_TRUE(Table.expire(at(5000)).empty());
}

TEST(EngineTable, ALeavingEngineIsRemovedAtOnceEvenDuringAnOutage) {
  EngineTable Table = table();
  Table.apply(change("e1", 1, true), false, at(0));
  EXPECT_EQ(Table.apply(removal("e1", 2), true, at(10)).Outcome,
            EngineTable::Effect::Removed);
}

TEST(EngineTable, AListingRemovesEnginesItDoesNotName) {
  EngineTable Table = table();
  Table.apply(change("e1", 1), false, at(0));
  Table.apply(change("e2", 2), false, at(0));
  Table.apply(change("late", 9), false, at(0));
  const std::vector<EngineChange> Listing = {change("e2", 2)};
  const auto Missing = Table.missingFrom(Listing, 8);
  ASSERT_EQ(Missing.size(), 1U);
  EXPECT_EQ(Missing.front().Engine.Id, UpstreamId("e1"));
  EXPECT_TRUE(Missing.front().Removed);
}

TEST(EngineTable, TheNextRecordRestoresAnEngineMissingFromAListing) {
  EngineTable Table = table();
  Table.apply(change("e1", 1), false, at(0));
  for (const EngineChange &Change : Table.missingFrom({}, 8))
    Table.apply(Change, false, at(1));
  ASSERT_EQ(Table.find(UpstreamId("e1")), nullptr);
  Table.apply(change("e1", 8), false, at(2));
  EXPECT_NE(Table.find(UpstreamId("e1")), nullptr);
}

TEST(EngineTable, AMissingEngineWhoseAddressIsTakenIsRemoved) {
  EngineTable Table = table();
  Table.apply(change("e1", 1), false, at(0));
  Table.apply(removal("e1", 2), true, at(10));
  Table.setLeaving(UpstreamId("e1"), at(20));
  EXPECT_EQ(Table.expire(at(20)), std::vector<UpstreamId>{UpstreamId("e1")});
}

TEST(EngineTable, RecordsTheOffsetOfForgottenRemovals) {
  EngineTable Table = table();
  Table.apply(removal("e1", 4), false, at(0));
  EXPECT_EQ(Table.forgottenTo(), 0U);
  Table.expire(at(60'000));
  EXPECT_EQ(Table.forgottenTo(), 5U);
}

RC_GTEST_PROP(EngineTableProperty, ChangesConvergeInAnyOrder, ()) {
  std::vector<EngineChange> Changes;
  const auto Count = *rc::gen::inRange(1, 12);
  for (int Offset = 0; Offset < Count; ++Offset) {
    const char *Names[] = {"e1", "e2", "e3"};
    const char *Name = Names[*rc::gen::inRange(0, 3)];
    const auto At = static_cast<LogOffset>(Offset);
    Changes.push_back(*rc::gen::inRange(0, 4) == 0 ? removal(Name, At)
                                                   : change(Name, At));
  }
  const auto Final = [](const std::vector<EngineChange> &Given) {
    EngineTable Table = table();
    for (const EngineChange &Change : Given)
      Table.apply(Change, false, at(0));
    std::vector<std::pair<UpstreamId, LogOffset>> Result;
    for (const RegisteredEngine *Known : Table.ofService(Ring))
      Result.emplace_back(Known->Record.Id, Known->Offset);
    return Result;
  };
  RC_ASSERT(Final(Changes) == Final(*shuffled(Changes)));
}

TEST(EngineTable, ALaterIncarnationReplacesALeavingOne) {
  EngineTable Table = table();
  Table.apply(change("e1@1000", 1, true), false, at(0));
  const auto Done = Table.apply(change("e1@2000", 2), false, at(1));
  EXPECT_TRUE(Done.Restarted);
  EXPECT_EQ(Done.Ended, UpstreamId("e1@1000"));
  EXPECT_EQ(Table.find(UpstreamId("e1@1000")), nullptr);
  EXPECT_EQ(Table.find(UpstreamId("e1@2000"))->Standing,
            EngineStanding::Usable);
}

TEST(EngineTable, ALateRecordOfAnEarlierIncarnationIsIgnored) {
  EngineTable Table = table();
  Table.apply(change("e1@2000", 2), false, at(0));
  EXPECT_EQ(Table.apply(change("e1@1000", 3), false, at(1)).Outcome,
            EngineTable::Effect::None);
  Table.apply(removal("e1", 4), false, at(2));
  Table.apply(change("e1@1000", 5), false, at(3));
  EXPECT_TRUE(Table.ofService(Ring).empty());
}

TEST(EngineTable, AReportedIncarnationEndsTheEarlierOneBeforeItRegisters) {
  EngineTable Table = table();
  Table.apply(change("e1@1000", 1), false, at(0));
  EXPECT_FALSE(Table.noteIncarnation(UpstreamId("e1@1000"), at(1)));
  EXPECT_EQ(Table.noteIncarnation(UpstreamId("e1@2000"), at(1)),
            UpstreamId("e1@1000"));
  Table.apply(change("e1@1000", 2), false, at(2));
  EXPECT_TRUE(Table.ofService(Ring).empty());
  Table.apply(change("e1@2000", 3), false, at(3));
  EXPECT_NE(Table.find(UpstreamId("e1@2000")), nullptr);
}

TEST(EngineTable,
     AnEngineRestartedTwiceBetweenTwoRecordsHasItsLastIncarnation) {
  EngineTable Table = table();
  Table.apply(change("e1@1000", 1), false, at(0));
  Table.noteIncarnation(UpstreamId("e1@2000"), at(1));
  Table.apply(change("e1@3000", 2), false, at(2));
  ASSERT_EQ(Table.ofService(Ring).size(), 1U);
  EXPECT_EQ(Table.ofService(Ring).front()->Record.Id, UpstreamId("e1@3000"));
}

TEST(EngineLife, IsTheNameWithoutAStartTime) {
  EXPECT_EQ(engineIncarnation("e1", 0), UpstreamId("e1"));
  EXPECT_EQ(engineStartMs(UpstreamId("e1")), 0U);
  EXPECT_EQ(engineName(UpstreamId("a@b")), "a@b");
}

RC_GTEST_PROP(EngineLifeProperty, NameAndStartTimeRoundTrip,
              (const std::string &Name, std::uint64_t GivenMs)) {
  const std::uint64_t StartedMs = std::max<std::uint64_t>(GivenMs, 1);
  const UpstreamId Incarnation = engineIncarnation(Name, StartedMs);
  RC_ASSERT(engineName(Incarnation) == Name);
  RC_ASSERT(engineStartMs(Incarnation) == StartedMs);
}

RC_GTEST_PROP(EngineTableProperty, ChangesOfTwoIncarnationsConvergeInAnyOrder,
              ()) {
  std::vector<EngineChange> Changes;
  const int Count = *rc::gen::inRange(1, 12);
  for (int Offset = 0; Offset < Count; ++Offset) {
    const auto At = static_cast<LogOffset>(Offset);
    const char *Incarnations[] = {"e1@1000", "e1@2000", "e2@1000", "e2@2000"};
    const char *Names[] = {"e1", "e2"};
    Changes.push_back(*rc::gen::inRange(0, 4) == 0
                          ? removal(Names[*rc::gen::inRange(0, 2)], At)
                          : change(Incarnations[*rc::gen::inRange(0, 4)], At));
  }
  const auto Final = [](const std::vector<EngineChange> &Given) {
    EngineTable Table = table();
    for (const EngineChange &Change : Given)
      Table.apply(Change, false, at(0));
    std::vector<std::pair<UpstreamId, LogOffset>> Result;
    for (const RegisteredEngine *Known : Table.ofService(Ring))
      Result.emplace_back(Known->Record.Id, Known->Offset);
    return Result;
  };
  RC_ASSERT(Final(Changes) == Final(*shuffled(Changes)));
}

TEST(EngineTable, ARenewalIsNotSentAsAChange) {
  EngineTable Table = table();
  Table.apply(change("e1", 1), false, at(0));
  Table.apply(change("e2", 2), false, at(0));
  const std::uint64_t Before = Table.digest();
  Table.apply(change("e1", 9), false, at(1));
  EXPECT_EQ(Table.digest(), Before);
  EXPECT_TRUE(Table.changesFrom(3).empty());
  Table.apply(change("e1", 12, true), false, at(2));
  EXPECT_NE(Table.digest(), Before);
  ASSERT_EQ(Table.changesFrom(3).size(), 1U);
  EXPECT_EQ(Table.changesFrom(3).front().Offset, 12U);
}

EngineChange cold(const char *Name, LogOffset Offset, Duration For) {
  EngineChange Result = change(Name, Offset);
  Result.Engine.ColdFor = For;
  return Result;
}

/// Hosts that do not read the store learn of a cold engine by the digest. The
/// cold time shrinks at each renewal, which must not cause requests.
TEST(EngineTable, TurningColdIsAChangeAndARenewalWhileColdIsNone) {
  EngineTable Table = table();
  Table.apply(change("e1", 1), false, at(0));
  const std::uint64_t Warm = Table.digest();
  EXPECT_TRUE(Table.apply(cold("e1", 2, seconds(3)), false, at(0)).IsCold);
  const std::uint64_t Cold = Table.digest();
  EXPECT_NE(Cold, Warm);
  EXPECT_EQ(Table.changesFrom(2).size(), 1U);
  EXPECT_TRUE(Table.apply(cold("e1", 3, seconds(2)), false, at(1000)).IsCold);
  EXPECT_EQ(Table.digest(), Cold);
  EXPECT_TRUE(Table.changesFrom(3).empty());
  EXPECT_FALSE(Table.apply(change("e1", 4), false, at(3000)).IsCold);
  EXPECT_EQ(Table.digest(), Warm);
}

TEST(EngineTable, AMissingEngineCountsAsRemovedInTheDigest) {
  EngineTable First = table();
  EngineTable Other = table();
  for (EngineTable *Table : {&First, &Other}) {
    Table->apply(change("e1", 1), false, at(0));
    Table->apply(change("e2", 2), false, at(0));
  }
  First.apply(removal("e1", 3), true, at(1));
  Other.apply(removal("e1", 3), false, at(1));
  EXPECT_EQ(First.digest(), Other.digest());
}

RC_GTEST_PROP(EngineTable, HostsWithTheSameStateHaveTheSameDigest, ()) {
  const std::vector<EngineChange> All = {
      change("e1", 1), change("e2", 2),  change("e1", 4, true),
      change("e3", 5), removal("e2", 6), change("e3", 8)};
  EngineTable First = table();
  EngineTable Other = table();
  for (const EngineChange &Change : *shuffled(All))
    First.apply(Change, false, at(1));
  for (const EngineChange &Change : *shuffled(All))
    Other.apply(Change, false, at(1));
  RC_ASSERT(First.digest() == Other.digest());
}

TEST(EngineTable, RemovalsAreForgottenWhenTheyExpire) {
  EngineTable Table = table();
  Table.apply(change("e1", 1), false, at(0));
  Table.apply(removal("e1", 2), false, at(10));
  Table.expire(at(59'000));
  EXPECT_EQ(Table.forgottenTo(), 0U);
  Table.expire(at(61'000));
  EXPECT_EQ(Table.forgottenTo(), 3U);
}

} // namespace
} // namespace banyanpick
