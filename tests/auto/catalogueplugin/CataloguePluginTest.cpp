#include "auto/catalogueplugin/CatalogueBench.h"

#include "plugins/catalogue/SnapshotAssembler.h"

#include <gtest/gtest.h>

namespace banyanpick {

namespace {

/// A retention so short that snapshots come every 15 s, in small chunks.
const std::map<std::string, std::string> ShortRetention{
    {"log.retention", "60s"}, {"catalogue.snapshot_chunk", "64"}};

struct CatalogueTest : testing::Test {
  LogServiceModel Log;
  BenchHost Host{Log, "h1", 0xa1, ShortRetention};

  /// Lets the host write a snapshot, then drops everything before it.
  void snapshotAndForget() {
    for (int Second = 0; Second < 20; ++Second) {
      this->Host.advance(seconds(1));
      this->Host.settle();
    }
    const LogOffset Before = this->offset(this->Host);
    this->Log.dropBefore(3);
    ASSERT_GT(Before, 3u) << "no snapshot was written";
  }

  static LogOffset offset(BenchHost &Of) {
    return viewOf(Of).catalogue().offset();
  }
};

} // namespace

TEST_F(CatalogueTest, NewDeploymentIsReadyOnceSomethingIsDeclared) {
  this->Host.catchUp();
  EXPECT_FALSE(viewOf(Host).isReady());
  EXPECT_TRUE(viewOf(Host).isCurrent(Host.Now)) << "operators can't begin";
  EXPECT_EQ(gate(Host)->Reason, RefusalReason::NotReady);
  write(this->Log, declareOwner("c1", "ring"));
  this->Host.catchUp();
  EXPECT_TRUE(viewOf(Host).isReady());
  EXPECT_EQ(gate(Host), std::nullopt);
}

TEST_F(CatalogueTest, OfTwoConflictingSetsTheFirstWinsEverywhere) {
  write(this->Log, declareOwner("c1", "ring"));
  write(this->Log, declareOwner("c2", "ring"));
  BenchHost Other(this->Log, "h2", 0xb1);
  this->Host.catchUp();
  Other.catchUp();
  EXPECT_EQ(textOf(Host), textOf(Other));
  const Catalogue &InForce = viewOf(Other).catalogue();
  EXPECT_TRUE(
      std::holds_alternative<ChangeAccepted>(*InForce.verdict(ChangeId("c1"))));
  EXPECT_TRUE(
      std::holds_alternative<ChangeRefused>(*InForce.verdict(ChangeId("c2"))));
}

TEST_F(CatalogueTest, NewHostRecoversFromSnapshotAndTail) {
  write(this->Log, declareOwner("c1", "ring"));
  write(this->Log, declareOwner("c2", "salon"));
  this->snapshotAndForget();
  write(this->Log, declareOwner("c3", "gown"));
  write(this->Log, declareOwner("c1", "ring"));
  this->Host.catchUp();
  BenchHost Fresh(this->Log, "h2", 0xb1);
  Fresh.catchUp();
  EXPECT_TRUE(viewOf(Fresh).isReady());
  EXPECT_EQ(textOf(Fresh), textOf(Host));
  EXPECT_EQ(this->offset(Fresh), this->offset(Host));
}

TEST_F(CatalogueTest, SnapshotsComeBeforeHalfOfTheRetentionHasPassed) {
  write(this->Log, declareOwner("c1", "ring"));
  this->Host.catchUp();
  std::vector<Time> Written;
  const Time Begin = this->Host.Now;
  while (this->Host.Now < Begin + seconds(300)) {
    this->Host.settle();
    for (const WriteLogLine &Each : this->Host.take<WriteLogLine>()) {
      if (Each.Line.Message == "snapshot written")
        Written.push_back(this->Host.Now);
    }
  }
  Time Last = Begin;
  for (const Time Each : Written) {
    EXPECT_LT(Each - Last, seconds(30));
    Last = Each;
  }
  EXPECT_GT(Last, Begin + seconds(270));
  EXPECT_LT(Written.size(), 40u) << "snapshots are written too often";
}

TEST_F(CatalogueTest, NeverServesWhenTheStartIsGoneAndNoSnapshotIsThere) {
  write(this->Log, declareOwner("c1", "ring"));
  write(this->Log, declareOwner("c2", "salon"));
  this->Log.dropBefore(2);
  this->Host.catchUp();
  EXPECT_FALSE(viewOf(Host).isReady());
  EXPECT_EQ(gate(Host)->Reason, RefusalReason::NotReady);
  EXPECT_FALSE(viewOf(Host).isCurrent(Host.Now));
}

TEST_F(CatalogueTest, TakesTheCatalogueFromThePeerWithTheHighestOffset) {
  write(this->Log, declareOwner("c1", "ring"));
  write(this->Log, declareOwner("c2", "salon"));
  this->Host.catchUp();
  this->Log.dropBefore(3);
  write(this->Log, declareOwner("c3", "gown"));
  BenchHost Fresh(this->Log, "h2", 0xb1);
  Fresh.probe().Members = {peerHeard("h0", Fresh.Now, {}, 1),
                           peerHeard("h1", Fresh.Now, {}, 2)};
  Fresh.catchUp();
  Fresh.advance(milliseconds(1500));
  const auto Sent = Fresh.take<SendToPeer>();
  ASSERT_FALSE(Sent.empty());
  EXPECT_EQ(Sent[0].To, HostId("h1"));
  tell(this->Host, "h2", Sent[0].Body);
  const auto Answer = this->Host.take<SendToPeer>();
  ASSERT_EQ(Answer.size(), 1u);
  tell(Fresh, "h1", Answer[0].Body);
  this->Host.catchUp();
  EXPECT_TRUE(viewOf(Fresh).isReady());
  EXPECT_EQ(textOf(Fresh), textOf(Host)) << "the set after it was not folded";
}

TEST_F(CatalogueTest, LeavesNoGapBehindAPeersCatalogue) {
  this->Log.append({});
  this->Log.append({});
  write(this->Log, declareOwner("c3", "gown"));
  this->Log.dropBefore(3);
  this->Host.catchUp();
  Catalogue Old;
  Old.fold(declareOwner("c1", "ring"), 1);
  tell(this->Host, "h0", CatalogueRelayed{1, snapshotText(Old)});
  EXPECT_FALSE(viewOf(Host).isReady()) << "offset 2 was never seen";
}

TEST_F(CatalogueTest, NeverGoesBackToAnOlderCatalogue) {
  write(this->Log, declareOwner("c1", "ring"));
  write(this->Log, declareOwner("c2", "salon"));
  this->Host.catchUp();
  const std::string Before = textOf(Host);
  Catalogue Old;
  Old.fold(declareOwner("c1", "ring"), 1);
  tell(this->Host, "h0", CatalogueRelayed{1, snapshotText(Old)});
  tell(this->Host, "h0", CatalogueRelayed{9, "{\"format\":1"});
  EXPECT_EQ(textOf(Host), Before);
  EXPECT_EQ(this->Host.kernel().invariantsBroken(), 0u);
}

TEST_F(CatalogueTest, DoesNotBelieveALogThatHoldsLessThanPeersHaveInForce) {
  this->Host.probe().Members = {peerHeard("h0", this->Host.Now, {}, 40)};
  this->Host.advance(milliseconds(50));
  write(this->Log, declareOwner("c1", "ring"));
  this->Host.settle();
  EXPECT_FALSE(viewOf(Host).isReady());
  const Time Confirmed = viewOf(Host).confirmedAt();
  Catalogue Known;
  Known.fold(declareOwner("c9", "salon"), 40);
  tell(this->Host, "h0", CatalogueRelayed{40, snapshotText(Known)});
  this->Host.settle();
  EXPECT_EQ(textOf(Host), snapshotText(Known));
  EXPECT_TRUE(viewOf(Host).isReady());
  EXPECT_EQ(viewOf(Host).confirmedAt(), Confirmed);
}

TEST_F(CatalogueTest, ForgetsVerdictsAlikeOnAllHosts) {
  Catalogue Whole;
  for (std::size_t Count = 0; Count < Catalogue::MostVerdicts + 10; ++Count)
    Whole.fold(declareOwner("c" + std::to_string(Count), "ring"), Count + 1);
  EXPECT_EQ(Whole.verdicts().size(), Catalogue::MostVerdicts);
  EXPECT_EQ(Whole.verdict(ChangeId("c0")), nullptr);
  const SnapshotState State = snapshotFromText(snapshotText(Whole));
  Catalogue Restored;
  Restored.restore(State.Entries, Whole.offset(), State.Verdicts);
  EXPECT_EQ(snapshotText(Restored), snapshotText(Whole));
}

TEST(SnapshotAssemblerTest, UsesOnlyWholeAndUndamagedSnapshots) {
  auto Chunks = chunksOf(7, "one text in several pieces", 5);
  ASSERT_EQ(Chunks.size(), 6u);
  SnapshotAssembler Whole;
  for (std::size_t Index = Chunks.size(); Index-- > 1;)
    EXPECT_EQ(Whole.add(Chunks[Index]), std::nullopt);
  EXPECT_EQ(Whole.add(Chunks[3]), std::nullopt) << "a piece counted twice";
  EXPECT_EQ(Whole.add(Chunks[0])->Text, "one text in several pieces");
  Chunks[2].Bytes = "wrong";
  SnapshotAssembler Damaged;
  for (const SnapshotChunk &Each : Chunks)
    EXPECT_EQ(Damaged.add(Each), std::nullopt);
  EXPECT_EQ(Damaged.damaged(), 1u);
  Chunks[0].Index = Chunks[0].Count;
  EXPECT_EQ(Damaged.add(Chunks[0]), std::nullopt);
}

} // namespace banyanpick
