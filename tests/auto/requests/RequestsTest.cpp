/// \file
/// Guards against requests that run twice, end without an answer or are
/// answered wrongly as not run. Attempts that end late or are cut, callers that
/// disconnect, and lost upstreams cause these. The services are fakes.
#include "ServiceFakes.h"

#include "catalogue/KeyDigest.h"
#include "plugins/requests/RequestsPlugin.h"

#include <gtest/gtest.h>

namespace banyanpick {
namespace {

constexpr std::string_view Salt = "00112233445566778899aabbccddeeff";
const Time Start{seconds(1'000'000)};

class RequestsTest : public testing::Test {
protected:
  RequestsTest()
      : Selector(Fleet), RandomSource(7),
        Values(Settings::defaults(RequestsSettings::declarations())),
        Self{HostId("h1"), Incarnation(11), ZoneId("z1"), {}, {}},
        Context(Self, Values, Registry, RandomSource) {
    this->declareCatalogue();
    this->Values.set("requests", "resume_window", "500ms");
    for (const char *Name : {"e1", "e2"}) {
      Upstream Engine;
      Engine.Listing.Id = UpstreamId(Name);
      this->Fleet.Upstreams.push_back(Engine);
    }
    this->Registry.provide<CatalogueView>(this->CurrentCatalogue);
    this->Registry.provide<FleetView>(this->Fleet);
    this->Registry.provide<UpstreamSelector>(this->Selector);
    this->Registry.provide<DispatchQueue>(this->Queue);
    this->Registry.provide<QuarantineView>(this->Quarantine);
    this->Registry.provide<RetryPolicy>(this->Retries);
    this->Registry.provide<ClaimKeeper>(this->Claims);
    this->Registry.provide<GroupHolder>(this->Groups);
    this->Registry.provide<AttemptCanceller>(this->Canceller);
    this->Tested.initialize(this->Context);
  }

  void declareCatalogue() {
    ClassEntry Short;
    Short.MaxPromptTokens = 4000;
    Short.MaxOutputTokens = 100;
    Short.FirstTokenBase = seconds(1);
    Short.AnswerBase = seconds(1);
    ClassEntry Confirm = Short;
    Confirm.Idempotent = false;
    TeamEntry House;
    House.Key = digestOfKey("secret", Salt);
    House.Classes = {ClassId("short"), ClassId("confirm")};
    TeamEntry Other = House;
    Other.Key = digestOfKey("secret", Salt);
    const OwnerId Ring("ring");
    this->CurrentCatalogue.Current.restore(
        {{{EntryKind::Class, "short"}, {Ring, Short, 1}},
         {{EntryKind::Class, "confirm"}, {Ring, Confirm, 1}},
         {{EntryKind::Team, "house"}, {Ring, House, 1}},
         {{EntryKind::Team, "other"}, {Ring, Other, 1}}},
        1);
  }

  RequestHead head(std::uint64_t Id, const char *Class = "short") {
    RequestHead Head;
    Head.Id = RequestId(Id);
    Head.TeamKey = "house.secret";
    Head.Class = ClassId(Class);
    Head.PromptTokens = 1000;
    Head.Streamed = true;
    if (Head.Class == ClassId("confirm"))
      Head.Operation = OperationKey("k");
    return Head;
  }

  /// Handles the event and stores its actions.
  void handle(const Event &Incoming, Duration After = Duration(0)) {
    Actions Out;
    this->Tested.handle(Incoming, Start + After, Out);
    this->LastActions = Out.take();
  }

  template <class Kind> std::vector<Kind> actions() const {
    std::vector<Kind> Found;
    for (const Action &Recorded : this->LastActions)
      if (const auto *Match = std::get_if<Kind>(&Recorded))
        Found.push_back(*Match);
    return Found;
  }

  template <class Answer> bool answeredWith() const {
    const auto Answers = this->actions<AnswerRequest>();
    return Answers.size() == 1 &&
           std::holds_alternative<Answer>(Answers[0].Answer);
  }

  AttemptId dispatched() const {
    const auto Found = this->actions<DispatchAttempt>();
    return Found.empty() ? AttemptId{} : Found[0].Attempt;
  }

  void grantClaim(std::uint64_t Id) {
    Actions Out;
    this->Tested.claimDecided(RequestId(Id), ClaimGranted{}, Start, Out);
    this->handle(LogRead{});
  }

  fakes::FakeCatalogue CurrentCatalogue;
  fakes::FakeFleet Fleet;
  fakes::FakeSelector Selector;
  fakes::FakeQueue Queue;
  fakes::FakeQuarantine Quarantine;
  fakes::FakeRetries Retries;
  fakes::FakeClaims Claims;
  fakes::FakeGroups Groups;
  fakes::FakeCanceller Canceller;
  Random RandomSource;
  Settings Values;
  Services Registry;
  Identity Self;
  PluginContext Context;
  RequestsPlugin Tested;
  std::vector<Action> LastActions;
};

TEST_F(RequestsTest, ServesARequest) {
  this->handle(RequestArrived{this->head(1)});
  const AttemptId Started = this->dispatched();
  EXPECT_EQ(Started.Maker, Incarnation(11));
  this->handle(AttemptEnded{Started, AttemptComplete{5, ""}});
  EXPECT_TRUE(this->answeredWith<CompleteAnswer>());
  EXPECT_EQ(this->Tested.running(), 0u);
}

TEST_F(RequestsTest, RefusesWrongKeysAndUnknownClassesAlike) {
  RequestHead Wrong = this->head(1);
  Wrong.TeamKey = "house.guess";
  this->handle(RequestArrived{Wrong});
  const auto First = this->actions<AnswerRequest>();
  this->handle(RequestArrived{this->head(1, "unknown")});
  const auto Second = this->actions<AnswerRequest>();
  ASSERT_EQ(First.size(), 1u);
  EXPECT_EQ(First, Second);
}

TEST_F(RequestsTest, RefusesRequestsWithoutACatalogue) {
  this->CurrentCatalogue.Ready = false;
  this->handle(RequestArrived{this->head(1)});
  EXPECT_TRUE(this->answeredWith<NotRun>());
}

TEST_F(RequestsTest, IgnoresEndsOfAttemptsThatDoNotRun) {
  this->handle(RequestArrived{this->head(1)});
  const AttemptId First = this->dispatched();
  this->handle(AttemptEnded{First, AttemptBroken{3, true}});
  const AttemptId Second = this->dispatched();
  EXPECT_NE(First, Second);
  EXPECT_EQ(this->actions<DispatchAttempt>()[0].NextIndex, 3u);
  this->handle(AttemptEnded{First, AttemptComplete{5, ""}});
  EXPECT_TRUE(this->actions<AnswerRequest>().empty());
  this->handle(AttemptEnded{Second, AttemptComplete{5, ""}});
  EXPECT_TRUE(this->answeredWith<CompleteAnswer>());
}

TEST_F(RequestsTest, RetriesAllUpstreamsAfterEachWasTried) {
  this->handle(RequestArrived{this->head(1)});
  this->handle(AttemptEnded{this->dispatched(), AttemptBroken{1, false}});
  this->handle(AttemptEnded{this->dispatched(), AttemptBroken{2, false}});
  EXPECT_TRUE(this->actions<DispatchAttempt>().empty());
  this->handle(Tick{}, milliseconds(100));
  EXPECT_EQ(this->actions<DispatchAttempt>().size(), 1u);
}

TEST_F(RequestsTest, DoesNotDispatchContentQuarantinedWhileQueued) {
  this->Selector.Full = true;
  this->handle(RequestArrived{this->head(1)});
  this->Selector.Full = false;
  this->Quarantine.Quarantined = true;
  this->handle(Tick{}, milliseconds(100));
  EXPECT_TRUE(this->actions<DispatchAttempt>().empty());
  EXPECT_TRUE(this->answeredWith<NotRun>());
}

TEST_F(RequestsTest, GivesUpAtTheDeadlineAndCancels) {
  this->handle(RequestArrived{this->head(1)});
  const AttemptId Started = this->dispatched();
  EXPECT_LE(this->Tested.nextWake(), Start + seconds(2));
  this->handle(Tick{}, seconds(2));
  EXPECT_TRUE(this->answeredWith<FailedAnswer>());
  EXPECT_EQ(this->Canceller.Cancelled, std::vector{Started});
}

TEST_F(RequestsTest, AnswersNotRunWhenNothingWasSent) {
  this->Selector.Full = true;
  this->handle(RequestArrived{this->head(1)});
  this->handle(Tick{}, seconds(2));
  EXPECT_TRUE(this->answeredWith<NotRun>());
}

TEST_F(RequestsTest, ClaimsAnOperationBeforeItsDispatch) {
  this->handle(RequestArrived{this->head(1, "confirm")});
  EXPECT_TRUE(this->actions<DispatchAttempt>().empty());
  this->grantClaim(1);
  EXPECT_EQ(this->actions<DispatchAttempt>().size(), 1u);
}

TEST_F(RequestsTest, DoesNotRetryAnOperationWhoseAnswerWasLost) {
  this->handle(RequestArrived{this->head(1, "confirm")});
  this->grantClaim(1);
  this->handle(AttemptEnded{this->dispatched(), AttemptBroken{0, true}});
  EXPECT_TRUE(this->answeredWith<OutcomeUnknown>());
  EXPECT_TRUE(this->actions<DispatchAttempt>().empty());
  EXPECT_EQ(this->Claims.Calls.back(),
            "finish " +
                std::to_string(static_cast<int>(OutcomeRecord::Kind::Unknown)));
}

TEST_F(RequestsTest, RetriesAnOperationThatDidNotStart) {
  this->handle(RequestArrived{this->head(1, "confirm")});
  this->grantClaim(1);
  this->handle(AttemptEnded{this->dispatched(), AttemptNeverSent{}});
  EXPECT_EQ(this->actions<DispatchAttempt>().size(), 1u);
  this->Retries.Allowed = false;
  this->handle(AttemptEnded{this->dispatched(), AttemptRefused{}});
  EXPECT_TRUE(this->answeredWith<NotRun>());
  EXPECT_EQ(this->Claims.Calls.back(), "abandon");
}

TEST_F(RequestsTest, KeepsAStartedOperationWhenItsCallerDisconnects) {
  this->handle(RequestArrived{this->head(1, "confirm")});
  this->grantClaim(1);
  const AttemptId Started = this->dispatched();
  this->handle(CallerDisconnected{RequestId(1)});
  EXPECT_TRUE(this->Canceller.Cancelled.empty());
  this->handle(AttemptEnded{Started, AttemptComplete{1, "done"}});
  EXPECT_EQ(this->Claims.Calls.back(),
            "finish " +
                std::to_string(static_cast<int>(OutcomeRecord::Kind::Done)));
}

TEST_F(RequestsTest, ResumesAStreamForItsOwnTeamOnly) {
  this->handle(RequestArrived{this->head(1)});
  const auto Accepted = this->actions<AcceptRequest>();
  ASSERT_EQ(Accepted.size(), 1u);
  this->handle(CallerDisconnected{RequestId(1)});
  const std::string Token = Accepted[0].ResumeToken;
  this->handle(ResumeRequest{RequestId(2), "other.secret", Token, 0});
  EXPECT_TRUE(this->answeredWith<NotRun>());
  this->handle(ResumeRequest{RequestId(3), "house.secret", Token, 4});
  const auto Joined = this->actions<JoinStream>();
  ASSERT_EQ(Joined.size(), 1u);
  EXPECT_EQ(Joined[0].Stream, RequestId(1));
}

TEST_F(RequestsTest, GivesUpAnAbandonedStreamAfterTheResumeWindow) {
  this->handle(RequestArrived{this->head(1)});
  this->handle(CallerDisconnected{RequestId(1)});
  EXPECT_EQ(this->Tested.nextWake(), Start + milliseconds(500));
  this->handle(Tick{}, milliseconds(499));
  EXPECT_EQ(this->Tested.running(), 1u);
  this->handle(Tick{}, milliseconds(500));
  EXPECT_EQ(this->Canceller.Cancelled.size(), 1u);
  EXPECT_EQ(this->Tested.running(), 0u);
}

TEST_F(RequestsTest, ReleasesAGroupDecidedAfterTheDeadline) {
  this->Selector.Group = {UpstreamId("e2")};
  this->handle(RequestArrived{this->head(1)});
  EXPECT_EQ(this->Groups.Acquired, 1);
  this->handle(Tick{}, seconds(2));
  EXPECT_TRUE(this->answeredWith<NotRun>());
  const int Before = this->Groups.Released;
  Actions Out;
  const HoldId Hold{Incarnation(11), 1};
  this->Tested.groupDecided(RequestId(1), std::span(&Hold, 1),
                            Start + seconds(2), Out);
  EXPECT_EQ(this->Groups.Released, Before + 1);
}

} // namespace
} // namespace banyanpick
