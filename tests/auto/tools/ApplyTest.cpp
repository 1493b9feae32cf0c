#include "auto/catalogue/Samples.h"
#include "auto/tools/FakeHosts.h"
#include "base/Error.h"
#include "catalogue/CatalogueIni.h"
#include "catalogue/CatalogueJson.h"
#include "tools/ApplyCommand.h"

#include <gtest/gtest.h>

namespace banyanpick::tools {
namespace {

/// A simulated deployment. Tests replace its answers.
struct FakeDeployment {
  HostReply PostAnswer =
      completeReply(200, R"({"verdict": "accepted", "offset": 20})");
  HostReply VerdictAnswer =
      completeReply(200, R"({"verdict": "pending", "message": "wait"})");
  StatusReport Status{HostId("h1"), true, true, false, 20, 0, {}, {}, {}};
  int UnreachableHosts = 0; ///< The first ones; they don't answer.
  FakeHosts Hosts{[this](const Address &Host, const HostRequest &Req) {
    return this->answer(Host, Req);
  }};
  FakeClock WallClock;
  Options Opts;

  FakeDeployment() {
    this->Opts.Key = "ring.secret";
    this->Opts.Arguments = {"f.ini"};
    this->Opts.Hosts = {{"127.0.0.1", 1}, {"127.0.0.1", 2}};
  }

  HostReply answer(const Address &Host, const HostRequest &Req) {
    if (Host.Port <= this->UnreachableHosts)
      return unreachableHost();
    if (Req.Verb == HostRequest::Method::Post)
      return this->PostAnswer;
    if (Req.Target.ends_with("/catalogue"))
      return completeReply(
          200,
          toJson(OperatorAnswer(CatalogueShown{9, sampleEntries()})).dump());
    if (Req.Target.ends_with("/status"))
      return completeReply(200, toJson(OperatorAnswer(this->Status)).dump());
    return this->VerdictAnswer;
  }

  /// Applies the sample catalogue with a new weight for house-1.
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
    for (const HostRequest &Req : this->Hosts.Requests) {
      if (Req.Verb == HostRequest::Method::Post)
        return changeSetFromJson(nlohmann::json::parse(Req.Body));
    }
    return {};
  }
};

bool containsText(const Outcome &Result, std::string_view Text) {
  return Result.Text.find(Text) != std::string::npos;
}

TEST(Apply, SendsOnlyChangedEntriesWithTheirBaseVersion) {
  FakeDeployment Deployed;
  const Outcome Result = Deployed.applyChange();
  EXPECT_EQ(Result.Code, ExitCode::Ok);
  EXPECT_TRUE(containsText(Result, "~ team house-1\n    weight: 1.5 -> 2"));
  EXPECT_TRUE(
      containsText(Result, "accepted at offset 20; in force on 1 of 1 hosts"));
  const ChangeSet Sent = Deployed.sent();
  ASSERT_EQ(Sent.Changes.size(), 1u);
  EXPECT_EQ(Sent.Id, ChangeId("c1"));
  EXPECT_EQ(Sent.Changes[0].BaseVersion, 7u);
}

TEST(Apply, KeepsEntriesOfOtherOwnersAndRemovesOnlyWhenPruning) {
  EntryMap Wanted = sampleEntries();
  Wanted.erase({EntryKind::Class, "confirm"});
  const std::string Text = writeCatalogueIni(Wanted);
  FakeDeployment Kept;
  const Outcome Result = Kept.applyText(Text);
  EXPECT_TRUE(containsText(Result, "left to its owner: owner ring"));
  EXPECT_TRUE(containsText(Result, "class confirm; --prune removes it"));
  EXPECT_TRUE(containsText(Result, "nothing to change"));
  EXPECT_EQ(Kept.Hosts.postCount(), 0u);
  FakeDeployment Pruned;
  Pruned.Opts.Prune = true;
  EXPECT_TRUE(containsText(Pruned.applyText(Text), "- class confirm"));
  ASSERT_EQ(Pruned.sent().Changes.size(), 1u);
  EXPECT_FALSE(Pruned.sent().Changes[0].Body.has_value());
}

TEST(Apply, ResolvesALostAnswerByQueryAndNeverSendsAgain) {
  for (const HostReply &Answer :
       {lostReply(), completeReply(503, "{}"),
        completeReply(200, R"({"verdict": "pending", "message": "wait"})")}) {
    FakeDeployment Deployed;
    Deployed.PostAnswer = Answer;
    Deployed.VerdictAnswer =
        completeReply(200, R"({"verdict": "accepted", "offset": 18})");
    const Outcome Result = Deployed.applyChange();
    EXPECT_EQ(Result.Code, ExitCode::Ok);
    EXPECT_TRUE(containsText(Result, "accepted at offset 18"));
    EXPECT_EQ(Deployed.Hosts.postCount(), 1u);
  }
}

TEST(Apply, ReportsAnUnknownOutcome) {
  FakeDeployment Deployed;
  Deployed.PostAnswer = lostReply();
  const Outcome Result = Deployed.applyChange();
  EXPECT_EQ(Result.Code, ExitCode::Unavailable);
  EXPECT_TRUE(containsText(Result, "banyanpick verdict c1"));
  EXPECT_EQ(Deployed.Hosts.postCount(), 1u);
}

TEST(Apply, UsesTheNextHostWhenNothingWasSent) {
  FakeDeployment Deployed;
  Deployed.UnreachableHosts = 1;
  EXPECT_EQ(Deployed.applyChange().Code, ExitCode::Ok);
  Deployed.UnreachableHosts = 2;
  EXPECT_THROW(Deployed.applyChange(), Error);
}

TEST(Apply, ReportsTheRejection) {
  FakeDeployment Deployed;
  Deployed.PostAnswer = completeReply(
      200, R"({"verdict": "rejected", "message": "by owner x; apply again"})");
  const Outcome Result = Deployed.applyChange();
  EXPECT_EQ(Result.Code, ExitCode::Rejected);
  EXPECT_TRUE(containsText(Result, "rejected: by owner x; apply again"));
}

TEST(Apply, NamesTheHostsThatAreBehind) {
  FakeDeployment Deployed;
  Deployed.Status.Hosts = {
      {HostId("h1"), ZoneId("a"), MemberState::Alive, true, 20, {}},
      {HostId("h2"), ZoneId("a"), MemberState::Alive, true, 19, {}},
      {HostId("h3"), ZoneId("a"), MemberState::Dead, true, 3, {}},
      {HostId("h4"), ZoneId("a"), MemberState::Leaving, true, 3, {}}};
  const Outcome Result = Deployed.applyChange();
  EXPECT_EQ(Result.Code, ExitCode::NotInForceEverywhere);
  EXPECT_TRUE(containsText(Result, "in force on 1 of 2 hosts"));
  EXPECT_TRUE(containsText(Result, "not in force on h2 (alive, at offset 19)"));
}

TEST(Apply, ReportsAWrongKeyAndAWrongFile) {
  FakeDeployment Deployed;
  Deployed.PostAnswer = completeReply(
      403, R"({"error": {"kind": "not-allowed", "message": "not valid"}})");
  const auto KindOf = [&](const std::string &Text) {
    try {
      Deployed.applyText(Text);
    } catch (const Error &Caught) {
      return Caught.kind();
    }
    return ErrorKind::Internal;
  };
  EXPECT_EQ(KindOf("[model new]\nowner = ring\nweights = w\n"),
            ErrorKind::NotAllowed);
  EXPECT_EQ(KindOf("[model new]\nowner = ring\n"), ErrorKind::BadInput);
  Deployed.Opts.Key = "nodot";
  EXPECT_EQ(KindOf(""), ErrorKind::NotAllowed);
}

} // namespace
} // namespace banyanpick::tools
