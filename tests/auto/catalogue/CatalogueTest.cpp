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

TEST(Fold, LetsTheFirstOfTwoConflictingChangesWin) {
  Catalogue Of;
  EXPECT_EQ(Of.fold(oneChange("a", 0, 1), 5), ChangeVerdict(ChangeAccepted{5}));
  const std::string Message = refusal(Of.fold(oneChange("b", 0, 2), 6));
  EXPECT_NE(Message.find("team house was changed by owner ring at version 5"),
            std::string::npos);
  EXPECT_NE(Message.find("apply again"), std::string::npos);
  EXPECT_EQ(Of.team(TeamId("house"))->Weight, 1);
  EXPECT_EQ(Of.offset(), 6u);
}

TEST(Fold, KeepsEntriesToTheirOwner) {
  Catalogue Of;
  Of.fold(oneChange("a", 0, 1), 5);
  EXPECT_NE(refusal(Of.fold(oneChange("b", 5, 2, "other"), 6))
                .find("belongs to owner ring"),
            std::string::npos);
}

TEST(Fold, TakesASetWholeOrNotAtAll) {
  Catalogue Of;
  Of.fold(oneChange("a", 0, 1), 5);
  ChangeSet Both = oneChange("b", 0, 2);
  Change New = Both.Changes.front();
  New.Key.Name = "new";
  Both.Changes.insert(Both.Changes.begin(), New);
  EXPECT_NE(refusal(Of.fold(Both, 6)), "");
  EXPECT_EQ(Of.team(TeamId("new")), nullptr);
}

TEST(Fold, CountsASetOnceAlsoAfterASnapshot) {
  Catalogue Of;
  Of.fold(oneChange("a", 0, 1), 5);
  Of.fold(removal("b", 5), 6);
  Catalogue Restored;
  Restored.restore(Of.entries(), Of.offset(), Of.verdicts());
  for (Catalogue *Each : {&Of, &Restored}) {
    EXPECT_EQ(Each->fold(oneChange("a", 0, 1), 7),
              ChangeVerdict(ChangeAccepted{5}));
    EXPECT_EQ(Each->team(TeamId("house")), nullptr);
  }
}

TEST(Fold, BoundsTheVerdictsItRemembers) {
  Catalogue Of;
  for (LogOffset Offset = 1; Offset <= Catalogue::MaxVerdicts + 10; ++Offset)
    Of.fold(oneChange(std::to_string(Offset), 99, 1), Offset);
  EXPECT_EQ(Of.verdicts().size(), Catalogue::MaxVerdicts);
  EXPECT_EQ(Of.verdict(ChangeId("10")), nullptr);
  EXPECT_NE(Of.verdict(ChangeId("11")), nullptr);
}

/// Random change sets, some twice, against random versions.
std::vector<ChangeSet> anySets() {
  std::vector<ChangeSet> Result;
  for (int Left = *rc::gen::inRange(1, 30); Left > 0; --Left) {
    const std::string Id = std::to_string(*rc::gen::inRange(0, 20));
    const auto Base = *rc::gen::inRange<LogOffset>(0, 30);
    const bool Removes = *rc::gen::inRange(0, 4) == 0;
    Result.push_back(Removes ? removal(Id, Base)
                             : oneChange(Id, Base, *rc::gen::inRange(1, 9)));
  }
  return Result;
}

RC_GTEST_PROP(Fold, GivesTheSameFromASnapshotAsFromTheStart, ()) {
  const std::vector<ChangeSet> Sets = anySets();
  const auto Cut = *rc::gen::inRange<std::size_t>(0, Sets.size() + 1);
  Catalogue Whole;
  Catalogue Restored;
  for (std::size_t Index = 0; Index < Sets.size(); ++Index) {
    if (Index == Cut)
      Restored.restore(Whole.entries(), Whole.offset(), Whole.verdicts());
    const LogOffset Offset = Index + 1;
    const LogOffset Before = Whole.offset();
    const ChangeVerdict Verdict = Whole.fold(Sets[Index], Offset);
    RC_ASSERT(Whole.offset() > Before);
    if (Index >= Cut)
      RC_ASSERT(Restored.fold(Sets[Index], Offset) == Verdict);
  }
  if (Cut < Sets.size())
    RC_ASSERT(Restored.entries() == Whole.entries());
}

} // namespace
} // namespace banyanpick
