#include "catalogue/Catalogue.h"
#include "auto/catalogue/Samples.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace banyanpick {
namespace {

const EntryKey House{EntryKind::Team, "house"};

ChangeSet oneChange(const std::string &Id, LogOffset Base, double Weight,
                    const std::string &Author = "ring") {
  TeamEntry Team;
  Team.Weight = Weight;
  return {ChangeId(Id),
          OwnerId(Author),
          {Change{House, Base, OwnerId(Author), Team}}};
}

ChangeSet removal(const std::string &Id, LogOffset Base) {
  return {ChangeId(Id),
          OwnerId("ring"),
          {Change{House, Base, OwnerId("ring"), std::nullopt}}};
}

std::string refusal(const ChangeVerdict &Verdict) {
  const auto *Refused = std::get_if<ChangeRefused>(&Verdict);
  return Refused ? Refused->Message : "";
}

TEST(Catalogue, FirstOfTwoConflictingChangesWins) {
  Catalogue State;
  EXPECT_EQ(State.fold(oneChange("a", 0, 1), 5),
            ChangeVerdict(ChangeAccepted{5}));
  const std::string Message = refusal(State.fold(oneChange("b", 0, 2), 6));
  EXPECT_NE(Message.find("team house was changed by owner ring at version 5"),
            std::string::npos);
  EXPECT_NE(Message.find("apply again"), std::string::npos);
  EXPECT_EQ(State.team(TeamId("house"))->Weight, 1);
  EXPECT_EQ(State.offset(), 6u);
}

TEST(Catalogue, RefusesChangesByOtherOwners) {
  Catalogue State;
  State.fold(oneChange("a", 0, 1), 5);
  EXPECT_NE(refusal(State.fold(oneChange("b", 5, 2, "other"), 6))
                .find("belongs to owner ring"),
            std::string::npos);
}

TEST(Catalogue, AppliesChangeSetsAtomically) {
  Catalogue State;
  State.fold(oneChange("a", 0, 1), 5);
  ChangeSet Both = oneChange("b", 0, 2);
  Change New = Both.Changes.front();
  New.Key.Name = "new";
  Both.Changes.insert(Both.Changes.begin(), New);
  EXPECT_NE(refusal(State.fold(Both, 6)), "");
  EXPECT_EQ(State.team(TeamId("new")), nullptr);
}

TEST(Catalogue, IgnoresDuplicateSetsAlsoAfterSnapshot) {
  Catalogue Original;
  Original.fold(oneChange("a", 0, 1), 5);
  Original.fold(removal("b", 5), 6);
  Catalogue Restored;
  Restored.restore(Original.entries(), Original.offset(), Original.verdicts());
  for (Catalogue *State : {&Original, &Restored}) {
    EXPECT_EQ(State->fold(oneChange("a", 0, 1), 7),
              ChangeVerdict(ChangeAccepted{5}));
    EXPECT_EQ(State->team(TeamId("house")), nullptr);
  }
}

TEST(Catalogue, BoundsStoredVerdicts) {
  Catalogue State;
  for (LogOffset Offset = 1; Offset <= Catalogue::MaxVerdicts + 10; ++Offset)
    State.fold(oneChange(std::to_string(Offset), 99, 1), Offset);
  EXPECT_EQ(State.verdicts().size(), Catalogue::MaxVerdicts);
  EXPECT_EQ(State.verdict(ChangeId("10")), nullptr);
  EXPECT_NE(State.verdict(ChangeId("11")), nullptr);
}

/// Returns random change sets, some of them duplicates, based on random
/// versions.
std::vector<ChangeSet> randomChangeSets() {
  std::vector<ChangeSet> Result;
  for (int Remaining = *rc::gen::inRange(1, 30); Remaining > 0; --Remaining) {
    const std::string Id = std::to_string(*rc::gen::inRange(0, 20));
    const auto Base = *rc::gen::inRange<LogOffset>(0, 30);
    const bool Removes = *rc::gen::inRange(0, 4) == 0;
    Result.push_back(Removes ? removal(Id, Base)
                             : oneChange(Id, Base, *rc::gen::inRange(1, 9)));
  }
  return Result;
}

RC_GTEST_PROP(Catalogue, SnapshotAndFullLogGiveSameState, ()) {
  const std::vector<ChangeSet> Sets = randomChangeSets();
  const auto SnapshotIndex = *rc::gen::inRange<std::size_t>(0, Sets.size() + 1);
  Catalogue Original;
  Catalogue Restored;
  for (std::size_t Index = 0; Index < Sets.size(); ++Index) {
    if (Index == SnapshotIndex)
      Restored.restore(Original.entries(), Original.offset(),
                       Original.verdicts());
    const LogOffset Offset = Index + 1;
    const LogOffset PreviousOffset = Original.offset();
    const ChangeVerdict Verdict = Original.fold(Sets[Index], Offset);
    RC_ASSERT(Original.offset() > PreviousOffset);
    if (Index >= SnapshotIndex)
      RC_ASSERT(Restored.fold(Sets[Index], Offset) == Verdict);
  }
  if (SnapshotIndex < Sets.size())
    RC_ASSERT(Restored.entries() == Original.entries());
}

} // namespace
} // namespace banyanpick
