#include "auto/catalogueplugin/CatalogueBench.h"

#include "plugins/catalogue/SnapshotAssembler.h"

#include <gtest/gtest.h>

namespace banyanpick {

namespace {

/// A retention so short that a snapshot is written every 15 s, in small chunks.
const std::map<std::string, std::string> ShortRetention{
    {"log.retention", "60s"}, {"catalogue.snapshot_chunk", "64"}};

struct CatalogueTest : testing::Test {
  LogServiceModel Log;
  BenchHost Host{Log, "h1", 0xa1, ShortRetention};

  /// Makes the host write a snapshot, then drops everything before it.
  void writeSnapshotAndDropLog() {
    for (int Second = 0; Second < 20; ++Second) {
      this->Host.advance(seconds(1));
      this->Host.settle();
    }
    const LogOffset Before = this->offset(this->Host);
    this->Log.dropBefore(3);
    ASSERT_GT(Before, 3u) << "no snapshot was written";
  }

  static LogOffset offset(BenchHost &Target) {
    return viewOf(Target).catalogue().offset();
  }
};

} // namespace

TEST_F(CatalogueTest, NewDeploymentIsReadyOnceSomethingIsDeclared) {
  this->Host.catchUp();
  EXPECT_FALSE(viewOf(Host).isReady());
  EXPECT_TRUE(viewOf(Host).isCurrent(Host.Now))
      << "operators can't make the first change";
  EXPECT_EQ(checkAdmission(Host)->Reason, RefusalReason::NotReady);
  appendChangeSet(this->Log, declareOwner("c1", "ring"));
  this->Host.catchUp();
  EXPECT_TRUE(viewOf(Host).isReady());
  EXPECT_EQ(checkAdmission(Host), std::nullopt);
}

TEST_F(CatalogueTest, FirstOfTwoConflictingSetsWinsOnAllHosts) {
  appendChangeSet(this->Log, declareOwner("c1", "ring"));
  appendChangeSet(this->Log, declareOwner("c2", "ring"));
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

TEST_F(CatalogueTest, NewHostRecoversFromSnapshotAndLaterRecords) {
  appendChangeSet(this->Log, declareOwner("c1", "ring"));
  appendChangeSet(this->Log, declareOwner("c2", "salon"));
  this->writeSnapshotAndDropLog();
  appendChangeSet(this->Log, declareOwner("c3", "gown"));
  appendChangeSet(this->Log, declareOwner("c1", "ring"));
  this->Host.catchUp();
  BenchHost NewHost(this->Log, "h2", 0xb1);
  NewHost.catchUp();
  EXPECT_TRUE(viewOf(NewHost).isReady());
  EXPECT_EQ(textOf(NewHost), textOf(Host));
  EXPECT_EQ(this->offset(NewHost), this->offset(Host));
}

TEST_F(CatalogueTest, SnapshotsAreWrittenWithinHalfOfTheRetention) {
  appendChangeSet(this->Log, declareOwner("c1", "ring"));
  this->Host.catchUp();
  std::vector<Time> Written;
  const Time Begin = this->Host.Now;
  while (this->Host.Now < Begin + seconds(300)) {
    this->Host.settle();
    for (const WriteLogLine &Logged : this->Host.take<WriteLogLine>()) {
      if (Logged.Line.Message == "snapshot written")
        Written.push_back(this->Host.Now);
    }
  }
  Time Last = Begin;
  for (const Time At : Written) {
    EXPECT_LT(At - Last, seconds(30));
    Last = At;
  }
  EXPECT_GT(Last, Begin + seconds(270));
  EXPECT_LT(Written.size(), 40u) << "snapshots are written too often";
}

TEST_F(CatalogueTest, DoesNotServeWithoutTheStartOfTheLogOrASnapshot) {
  appendChangeSet(this->Log, declareOwner("c1", "ring"));
  appendChangeSet(this->Log, declareOwner("c2", "salon"));
  this->Log.dropBefore(2);
  this->Host.catchUp();
  EXPECT_FALSE(viewOf(Host).isReady());
  EXPECT_EQ(checkAdmission(Host)->Reason, RefusalReason::NotReady);
  EXPECT_FALSE(viewOf(Host).isCurrent(Host.Now));
}

TEST_F(CatalogueTest, TakesTheCatalogueFromThePeerWithTheHighestOffset) {
  appendChangeSet(this->Log, declareOwner("c1", "ring"));
  appendChangeSet(this->Log, declareOwner("c2", "salon"));
  this->Host.catchUp();
  this->Log.dropBefore(3);
  appendChangeSet(this->Log, declareOwner("c3", "gown"));
  BenchHost NewHost(this->Log, "h2", 0xb1);
  NewHost.probe().Members = {peerHeard("h0", NewHost.Now, {}, 1),
                             peerHeard("h1", NewHost.Now, {}, 2)};
  NewHost.catchUp();
  NewHost.advance(milliseconds(1500));
  const auto Sent = NewHost.take<SendToPeer>();
  ASSERT_FALSE(Sent.empty());
  EXPECT_EQ(Sent[0].To, HostId("h1"));
  deliver(this->Host, "h2", Sent[0].Body);
  const auto Answer = this->Host.take<SendToPeer>();
  ASSERT_EQ(Answer.size(), 1u);
  deliver(NewHost, "h1", Answer[0].Body);
  this->Host.catchUp();
  EXPECT_TRUE(viewOf(NewHost).isReady());
  EXPECT_EQ(textOf(NewHost), textOf(Host))
      << "the change set after the catalogue was not folded";
}

TEST_F(CatalogueTest, RejectsAPeersCatalogueThatLeavesAGap) {
  this->Log.append({});
  this->Log.append({});
  appendChangeSet(this->Log, declareOwner("c3", "gown"));
  this->Log.dropBefore(3);
  this->Host.catchUp();
  Catalogue Old;
  Old.fold(declareOwner("c1", "ring"), 1);
  deliver(this->Host, "h0", CatalogueRelayed{1, serializeSnapshot(Old)});
  EXPECT_FALSE(viewOf(Host).isReady()) << "offset 2 was never seen";
}

TEST_F(CatalogueTest, NeverReturnsToAnOlderCatalogue) {
  appendChangeSet(this->Log, declareOwner("c1", "ring"));
  appendChangeSet(this->Log, declareOwner("c2", "salon"));
  this->Host.catchUp();
  const std::string Before = textOf(Host);
  Catalogue Old;
  Old.fold(declareOwner("c1", "ring"), 1);
  deliver(this->Host, "h0", CatalogueRelayed{1, serializeSnapshot(Old)});
  deliver(this->Host, "h0", CatalogueRelayed{9, "{\"format\":1"});
  EXPECT_EQ(textOf(Host), Before);
  EXPECT_EQ(this->Host.kernel().invariantsBroken(), 0u);
}

TEST_F(CatalogueTest, DoesNotTrustALogThatHoldsLessThanPeersHaveInForce) {
  this->Host.probe().Members = {peerHeard("h0", this->Host.Now, {}, 40)};
  this->Host.advance(milliseconds(50));
  appendChangeSet(this->Log, declareOwner("c1", "ring"));
  this->Host.settle();
  EXPECT_FALSE(viewOf(Host).isReady());
  const Time Confirmed = viewOf(Host).confirmedAt();
  Catalogue PeerCatalogue;
  PeerCatalogue.fold(declareOwner("c9", "salon"), 40);
  deliver(this->Host, "h0",
          CatalogueRelayed{40, serializeSnapshot(PeerCatalogue)});
  this->Host.settle();
  EXPECT_EQ(textOf(Host), serializeSnapshot(PeerCatalogue));
  EXPECT_TRUE(viewOf(Host).isReady());
  EXPECT_EQ(viewOf(Host).confirmedAt(), Confirmed);
}

TEST_F(CatalogueTest, AllHostsDropTheSameVerdicts) {
  Catalogue Complete;
  for (std::size_t Count = 0; Count < Catalogue::MaxVerdicts + 10; ++Count)
    Complete.fold(declareOwner("c" + std::to_string(Count), "ring"), Count + 1);
  EXPECT_EQ(Complete.verdicts().size(), Catalogue::MaxVerdicts);
  EXPECT_EQ(Complete.verdict(ChangeId("c0")), nullptr);
  const SnapshotState State = parseSnapshot(serializeSnapshot(Complete));
  Catalogue Restored;
  Restored.restore(State.Entries, Complete.offset(), State.Verdicts);
  EXPECT_EQ(serializeSnapshot(Restored), serializeSnapshot(Complete));
}

TEST(SnapshotAssemblerTest, UsesOnlyCompleteAndUndamagedSnapshots) {
  auto Chunks = splitIntoChunks(7, "one text in several pieces", 5);
  ASSERT_EQ(Chunks.size(), 6u);
  SnapshotAssembler Complete;
  for (std::size_t Index = Chunks.size(); Index-- > 1;)
    EXPECT_EQ(Complete.add(Chunks[Index]), std::nullopt);
  EXPECT_EQ(Complete.add(Chunks[3]), std::nullopt)
      << "a chunk was counted twice";
  EXPECT_EQ(Complete.add(Chunks[0])->Text, "one text in several pieces");
  Chunks[2].Bytes = "wrong";
  SnapshotAssembler Damaged;
  for (const SnapshotChunk &Chunk : Chunks)
    EXPECT_EQ(Damaged.add(Chunk), std::nullopt);
  EXPECT_EQ(Damaged.damaged(), 1u);
  Chunks[0].Index = Chunks[0].Count;
  EXPECT_EQ(Damaged.add(Chunks[0]), std::nullopt);
}

} // namespace banyanpick
