#include "auto/log/LogBench.h"
#include "catalogue/KeyDigest.h"

#include <gtest/gtest.h>

namespace banyanpick {

namespace {

const std::map<std::string, std::string> WithRoot{
    {"operators.root_key", "top"}};
const std::string Root = "root.top";
const std::string Ring = "ring.secret";

/// Returns one change of an entry of the owner `ring`.
Change makeChange(EntryKind Kind, std::string Name,
                  std::optional<EntryBody> Body) {
  Change Result;
  Result.Key = {Kind, std::move(Name)};
  Result.Owner = OwnerId("ring");
  Result.Body = std::move(Body);
  return Result;
}

ChangeSet makeChangeSet(std::string Id, std::vector<Change> Changes) {
  ChangeSet Result;
  Result.Id = ChangeId(std::move(Id));
  Result.Changes = std::move(Changes);
  return Result;
}

ModelEntry makeModel() {
  ModelEntry Result;
  Result.Weights = "m-weights";
  Result.WeightBytes = 1;
  return Result;
}

TeamEntry makeTeam(std::vector<ClassId> Classes) {
  TeamEntry Result;
  Result.Key = digestOfKey("k", std::string(32, '1'));
  Result.Classes = std::move(Classes);
  return Result;
}

struct OperatorsTest : testing::Test {
  LogServiceModel Log;
  BenchHost Host{Log, "h1", 0xa1, WithRoot};
  std::uint64_t Questions = 0;

  void SetUp() override {
    this->Host.catchUp();
    this->ask(Root, ApplyChanges{declareOwner("c0", "ring")});
    this->Host.settle();
    ASSERT_TRUE(this->takeAnswer<ChangesAccepted>());
  }

  void ask(const std::string &Key, OperatorQuestion Question) {
    this->Host.handle(OperatorRequest{OperatorRequestId(++this->Questions), Key,
                                      std::move(Question)});
  }

  void apply(const std::string &Key, std::string Id,
             std::vector<Change> Changes) {
    this->ask(Key,
              ApplyChanges{makeChangeSet(std::move(Id), std::move(Changes))});
  }

  /// Returns the answer since the last call, if it is the only one and of this
  /// type.
  template <class AnswerType> std::optional<AnswerType> takeAnswer() {
    const auto Answers = this->Host.take<AnswerOperator>();
    if (Answers.size() != 1 ||
        !std::holds_alternative<AnswerType>(Answers[0].Answer))
      return std::nullopt;
    return std::get<AnswerType>(Answers[0].Answer);
  }

  /// Returns why the changes were rejected at once; empty if they were not.
  std::string rejection(const std::string &Key, std::vector<Change> Changes) {
    this->apply(Key, "c" + std::to_string(this->Questions + 1),
                std::move(Changes));
    const auto Rejected = this->takeAnswer<ChangesRejected>();
    return Rejected ? Rejected->Message : std::string();
  }
};

} // namespace

TEST_F(OperatorsTest, AcceptsOnlyChangesThatWereReadBack) {
  this->apply(Ring, "c1", {makeChange(EntryKind::Model, "m", makeModel())});
  this->Host.answerAppend(AppendOutcome::Taken);
  EXPECT_TRUE(this->Host.take<AnswerOperator>().empty());
  this->Host.settle();
  EXPECT_EQ(this->takeAnswer<ChangesAccepted>()->Offset, 2u);
  this->ask(Ring, QueryVerdict{ChangeId("c1")});
  EXPECT_EQ(this->takeAnswer<ChangesAccepted>()->Offset, 2u);
}

TEST_F(OperatorsTest, ConflictingChangeIsRejectedWithTheEarlierOwner) {
  BenchHost Other(this->Log, "h2", 0xb1, WithRoot);
  Other.catchUp();
  this->apply(Ring, "c1", {makeChange(EntryKind::Model, "m", makeModel())});
  this->Host.answerAppend(AppendOutcome::Taken);
  Other.handle(OperatorRequest{
      OperatorRequestId(1), Ring,
      ApplyChanges{makeChangeSet(
          "c2", {makeChange(EntryKind::Model, "m", makeModel())})}});
  Other.settle();
  const auto Answers = Other.take<AnswerOperator>();
  ASSERT_EQ(Answers.size(), 1u);
  const auto &Message = std::get<ChangesRejected>(Answers[0].Answer).Message;
  EXPECT_NE(Message.find("owner ring"), std::string::npos) << Message;
}

TEST_F(OperatorsTest, LostAnswerOfTheLogIsSettledByReading) {
  this->apply(Ring, "c1", {makeChange(EntryKind::Model, "m", makeModel())});
  this->Host.answerAppend(AppendOutcome::LostAnswer);
  this->Host.settle();
  EXPECT_TRUE(this->takeAnswer<ChangesAccepted>());
  EXPECT_EQ(this->Log.end(), 3u) << "the record was appended twice";
}

TEST_F(OperatorsTest, ChangeStaysPendingWhileTheLogIsUnreachable) {
  for (int Round = 0; Round < 6; ++Round) {
    this->Host.failRead();
    this->Host.advance(seconds(1));
  }
  this->apply(Ring, "c1", {makeChange(EntryKind::Model, "m", makeModel())});
  EXPECT_TRUE(this->takeAnswer<VerdictPending>());
  this->Host.answerAppend(AppendOutcome::Refused);
  this->Host.settle();
  this->Host.settle();
  this->ask(Ring, QueryVerdict{ChangeId("c1")});
  EXPECT_TRUE(this->takeAnswer<ChangesAccepted>());
}

TEST_F(OperatorsTest, AcceptsNothingWithoutContactToMostHosts) {
  this->Host.probe().Members = {
      peerHeard("h2", this->Host.Now - seconds(60), {}, 1),
      peerHeard("h3", this->Host.Now - seconds(60), {}, 1)};
  this->apply(Ring, "c1", {makeChange(EntryKind::Model, "m", makeModel())});
  for (int Round = 0; Round < 8; ++Round)
    this->Host.settle();
  EXPECT_TRUE(this->takeAnswer<VerdictPending>());
  this->Host.probe().Members[0].LastHeard = this->Host.Now;
  this->ask(Ring, QueryVerdict{ChangeId("c1")});
  EXPECT_TRUE(this->takeAnswer<ChangesAccepted>());
}

TEST_F(OperatorsTest, WrongKeysGetTheSameRefusalAndAreNeverLogged) {
  std::vector<std::string> Messages;
  for (const std::string Key : {"ring.wrong", "nobody.secret", "root.secret",
                                "ring", "", "root.", ".secret"}) {
    this->ask(Key, ShowCatalogue{});
    const auto Refused = this->takeAnswer<OperatorRefused>();
    ASSERT_TRUE(Refused) << Key;
    Messages.push_back(Refused->Message);
  }
  EXPECT_EQ(std::set(Messages.begin(), Messages.end()).size(), 1u);
  this->apply(Ring, "c1", {makeChange(EntryKind::Model, "m", makeModel())});
  for (const WriteLogLine &Line : this->Host.take<WriteLogLine>()) {
    for (const LogField &Field : Line.Line.Fields)
      EXPECT_EQ(Field.Value.find("secret"), std::string::npos) << Field.Key;
  }
}

TEST_F(OperatorsTest, WithoutARootKeyNobodyIsRoot) {
  BenchHost Plain(this->Log, "h2", 0xb1);
  Plain.catchUp();
  Plain.handle(OperatorRequest{OperatorRequestId(1), "root.", ShowStatus{}});
  EXPECT_TRUE(std::holds_alternative<OperatorRefused>(
      Plain.take<AnswerOperator>().at(0).Answer));
}

TEST_F(OperatorsTest, OnlyOwnersChangeTheirEntries) {
  const OwnerEntry Key{digestOfKey("s", std::string(32, '2'))};
  Change Owner = makeChange(EntryKind::Owner, "salon", Key);
  EXPECT_NE(this->rejection(Ring, {Owner}), "");
  Change OwnedByRoot = makeChange(EntryKind::Model, "m", makeModel());
  OwnedByRoot.Owner = OwnerId("root");
  EXPECT_NE(this->rejection(Ring, {OwnedByRoot}), "");
  Owner.Owner = OwnerId("root");
  EXPECT_EQ(this->rejection(Root, {Owner}), "");
  this->Host.settle();
  EXPECT_TRUE(this->takeAnswer<ChangesAccepted>());
  this->apply(Ring, "c7", {makeChange(EntryKind::Model, "m", makeModel())});
  this->Host.settle();
  EXPECT_TRUE(this->takeAnswer<ChangesAccepted>());
  Change Others = makeChange(EntryKind::Model, "m", std::nullopt);
  Others.BaseVersion = this->Log.end() - 1;
  this->apply("salon.s", "c8", {Others});
  this->Host.settle();
  EXPECT_NE(this->takeAnswer<ChangesRejected>()->Message.find("ring"),
            std::string::npos);
}

TEST_F(OperatorsTest, RejectsEntriesWithMissingReferences) {
  const Change Team =
      makeChange(EntryKind::Team, "house", makeTeam({ClassId("short")}));
  EXPECT_NE(this->rejection(Ring, {Team}).find("short"), std::string::npos);
  const Change BadKey =
      makeChange(EntryKind::Owner, "x", OwnerEntry{KeyDigest{"plain"}});
  EXPECT_NE(this->rejection(Root, {BadKey}).find("salt"), std::string::npos);
  const Change Model = makeChange(EntryKind::Model, "m", makeModel());
  EXPECT_NE(this->rejection(Ring, {Model, Model}).find("twice"),
            std::string::npos);
  EXPECT_NE(this->rejection(Ring, {}), "");
  EXPECT_NE(
      this->rejection(Ring, {makeChange(EntryKind::Team, "m", makeModel())}),
      "");
  ClassEntry Short;
  Short.TargetName = "m";
  const Change Class = makeChange(EntryKind::Class, "short", Short);
  EXPECT_NE(this->rejection(Ring, {Class}).find("unknown model m"),
            std::string::npos);
  const Change Ringless = makeChange(EntryKind::Owner, "ring", std::nullopt);
  EXPECT_EQ(this->rejection(Ring, {Class, Model}).find("unknown"),
            std::string::npos);
  EXPECT_EQ(this->rejection(Root, {Ringless}).find("unknown"),
            std::string::npos);
}

TEST_F(OperatorsTest, AnIdIdentifiesOneChangeSet) {
  this->apply(Ring, "c1", {makeChange(EntryKind::Model, "m", makeModel())});
  this->Host.settle();
  ASSERT_TRUE(this->takeAnswer<ChangesAccepted>());
  this->apply(Ring, "c1", {makeChange(EntryKind::Model, "n", makeModel())});
  EXPECT_TRUE(this->takeAnswer<ChangesRejected>());
  this->apply(Ring, "c1", {makeChange(EntryKind::Model, "m", makeModel())});
  EXPECT_EQ(this->takeAnswer<ChangesAccepted>()->Offset, 2u);
}

TEST_F(OperatorsTest, ShowsCatalogueHistoryAndStatus) {
  this->ask(Ring, ShowCatalogue{});
  EXPECT_EQ(this->takeAnswer<CatalogueShown>()->Entries.size(), 1u);
  this->ask(Ring, ShowHistory{1});
  const auto History = this->takeAnswer<HistoryShown>();
  ASSERT_EQ(History->Items.size(), 1u);
  EXPECT_EQ(History->Items[0].Set.Author, OwnerId("root"));
  this->ask(Ring, ShowStatus{});
  const auto Status = this->takeAnswer<StatusReport>();
  EXPECT_TRUE(Status->Ready && Status->Current);
  EXPECT_EQ(Status->InForce, 1u);
  this->ask(Ring, ReleaseQuarantine{Fingerprint(1)});
  EXPECT_TRUE(this->takeAnswer<OperatorRefused>())
      << "no quarantine plug-in is linked";
}

} // namespace banyanpick
