#include "auto/catalogue/Samples.h"
#include "auto/tools/FakeHosts.h"
#include "base/Error.h"
#include "catalogue/CatalogueIni.h"
#include "catalogue/CatalogueJson.h"
#include "tools/ApplyCommand.h"

#include <gtest/gtest.h>

namespace banyanpick::tools {
namespace {

/// A deployment of which each answer can be replaced.
struct Deployment {
  HostReply PostAnswer = whole(200, R"({"verdict": "accepted", "offset": 20})");
  HostReply VerdictAnswer =
      whole(200, R"({"verdict": "pending", "message": "wait"})");
  StatusReport Status{HostId("h1"), true, true, false, 20, 0, {}, {}, {}};
  int QuietHosts = 0; ///< Of the hosts named, this many don't answer.
  FakeHosts Hosts{[this](const Address &Host, const HostRequest &Req) {
    return this->answer(Host, Req);
  }};
  FakeClock WallClock;
  Options Opts;

  Deployment() {
    this->Opts.Key = "ring.secret";
    this->Opts.Arguments = {"f.ini"};
    this->Opts.Hosts = {{"127.0.0.1", 1}, {"127.0.0.1", 2}};
  }

  HostReply answer(const Address &Host, const HostRequest &Req) {
    if (Host.Port <= this->QuietHosts)
      return unreachable();
    if (Req.Verb == HostRequest::Method::Post)
      return this->PostAnswer;
    if (Req.Target.ends_with("/catalogue"))
      return whole(
          200,
          toJson(OperatorAnswer(CatalogueShown{9, sampleEntries()})).dump());
    if (Req.Target.ends_with("/status"))
      return whole(200, toJson(OperatorAnswer(this->Status)).dump());
    return this->VerdictAnswer;
  }

  /// Applies the sample with a new weight for house-1.
  Outcome applyChange() {
    EntryMap Wanted = sampleEntries();
    std::get<TeamEntry>(Wanted.at({EntryKind::Team, "house-1"}).Body).Weight =
        2;
    return this->applyText(writeCatalogueIni(Wanted));
  }

  Outcome applyText(const std::string &Text) {
    OperatorClient Client(this->Hosts, this->WallClock, this->Opts);
    return apply(Client, this->WallClock, this->Opts, Text, ChangeId("c1"));
  }

  ChangeSet sent() const {
    for (const HostRequest &Each : this->Hosts.Asked) {
      if (Each.Verb == HostRequest::Method::Post)
        return changeSetFromJson(nlohmann::json::parse(Each.Body));
    }
    return {};
  }
};

bool says(const Outcome &Of, std::string_view Text) {
  return Of.Text.find(Text) != std::string::npos;
}

TEST(Apply, SendsOnlyWhatDiffersAgainstItsVersion) {
  Deployment World;
  const Outcome Result = World.applyChange();
  EXPECT_EQ(Result.Code, ExitCode::Ok);
  EXPECT_TRUE(says(Result, "~ team house-1\n    weight: 1.5 -> 2"));
  EXPECT_TRUE(says(Result, "accepted at offset 20; in force on 1 of 1 hosts"));
  const ChangeSet Sent = World.sent();
  ASSERT_EQ(Sent.Changes.size(), 1u);
  EXPECT_EQ(Sent.Id, ChangeId("c1"));
  EXPECT_EQ(Sent.Changes[0].BaseVersion, 7u);
}

TEST(Apply, LeavesTheEntriesOfOthersAndRemovesOnlyWhenPruning) {
  EntryMap Wanted = sampleEntries();
  Wanted.erase({EntryKind::Class, "confirm"});
  const std::string Text = writeCatalogueIni(Wanted);
  Deployment Kept;
  const Outcome Result = Kept.applyText(Text);
  EXPECT_TRUE(says(Result, "left to its owner: owner ring"));
  EXPECT_TRUE(says(Result, "class confirm; --prune removes it"));
  EXPECT_TRUE(says(Result, "nothing to change"));
  EXPECT_EQ(Kept.Hosts.posts(), 0u);
  Deployment Pruned;
  Pruned.Opts.Prune = true;
  EXPECT_TRUE(says(Pruned.applyText(Text), "- class confirm"));
  ASSERT_EQ(Pruned.sent().Changes.size(), 1u);
  EXPECT_FALSE(Pruned.sent().Changes[0].Body.has_value());
}

TEST(Apply, SettlesALostAnswerByAskingAndNeverSendsAgain) {
  for (const HostReply &Answer :
       {lost(), whole(503, "{}"),
        whole(200, R"({"verdict": "pending", "message": "wait"})")}) {
    Deployment World;
    World.PostAnswer = Answer;
    World.VerdictAnswer =
        whole(200, R"({"verdict": "accepted", "offset": 18})");
    const Outcome Result = World.applyChange();
    EXPECT_EQ(Result.Code, ExitCode::Ok);
    EXPECT_TRUE(says(Result, "accepted at offset 18"));
    EXPECT_EQ(World.Hosts.posts(), 1u);
  }
}

TEST(Apply, SaysSoWhenTheOutcomeStaysUnknown) {
  Deployment World;
  World.PostAnswer = lost();
  const Outcome Result = World.applyChange();
  EXPECT_EQ(Result.Code, ExitCode::Unavailable);
  EXPECT_TRUE(says(Result, "banyanpick verdict c1"));
  EXPECT_EQ(World.Hosts.posts(), 1u);
}

TEST(Apply, GoesOnToTheNextHostWhenNothingWasSent) {
  Deployment World;
  World.QuietHosts = 1;
  EXPECT_EQ(World.applyChange().Code, ExitCode::Ok);
  World.QuietHosts = 2;
  EXPECT_THROW(World.applyChange(), Error);
}

TEST(Apply, TellsTheRejection) {
  Deployment World;
  World.PostAnswer = whole(
      200, R"({"verdict": "rejected", "message": "by owner x; apply again"})");
  const Outcome Result = World.applyChange();
  EXPECT_EQ(Result.Code, ExitCode::Rejected);
  EXPECT_TRUE(says(Result, "rejected: by owner x; apply again"));
}

TEST(Apply, NamesTheHostsThatStayBehind) {
  Deployment World;
  World.Status.Hosts = {
      {HostId("h1"), ZoneId("a"), MemberState::Alive, true, 20, {}},
      {HostId("h2"), ZoneId("a"), MemberState::Alive, true, 19, {}},
      {HostId("h3"), ZoneId("a"), MemberState::Dead, true, 3, {}},
      {HostId("h4"), ZoneId("a"), MemberState::Leaving, true, 3, {}}};
  const Outcome Result = World.applyChange();
  EXPECT_EQ(Result.Code, ExitCode::NotInForceEverywhere);
  EXPECT_TRUE(says(Result, "in force on 1 of 2 hosts"));
  EXPECT_TRUE(says(Result, "not in force on h2 (alive, at offset 19)"));
}

TEST(Apply, TellsAWrongKeyAndAWrongFile) {
  Deployment World;
  World.PostAnswer = whole(
      403, R"({"error": {"kind": "not-allowed", "message": "not valid"}})");
  const auto KindOf = [&](const std::string &Text) {
    try {
      World.applyText(Text);
    } catch (const Error &Caught) {
      return Caught.kind();
    }
    return ErrorKind::Internal;
  };
  EXPECT_EQ(KindOf("[model new]\nowner = ring\nweights = w\n"),
            ErrorKind::NotAllowed);
  EXPECT_EQ(KindOf("[model new]\nowner = ring\n"), ErrorKind::BadInput);
  World.Opts.Key = "nodot";
  EXPECT_EQ(KindOf(""), ErrorKind::NotAllowed);
}

} // namespace
} // namespace banyanpick::tools
