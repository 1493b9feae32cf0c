/// \file
/// Tests the quarantine of content that crashes upstreams: detection,
/// distinction from unaffected content, refusal on all hosts, release.
#include <gtest/gtest.h>
// GoogleTest comes before its RapidCheck adapter.
#include <rapidcheck/gtest.h>

#include "fakes/PluginViews.h"
#include "fakes/TestRequestBuilder.h"
#include "plugins/quarantine/QuarantinePlugin.h"

namespace banyanpick {
namespace {

constexpr Time Start{seconds(1000)};
Fingerprint poison() { return Fingerprint(66); }

/// A host that runs contents on upstreams. Upstreams can be made to die.
class Host : public PluginBench<QuarantinePlugin> {
public:
  explicit Host(const std::string &Name) : PluginBench(Name) {
    for (const char *Peer : {"h1", "h2", "h3"}) {
      if (Name != Peer)
        this->Members.add(HostId(Peer));
    }
    TeamEntry Limits;
    Limits.RequestsPerMinute = 60;
    this->Entries.add(TeamId("a"), Limits);
    this->start();
  }

  std::vector<SendToPeer> run(std::uint64_t Content,
                              const std::string &Upstream) {
    const Request Req =
        TestRequestBuilder(++this->Ids).content(Content).build();
    const Attempt SentAttempt = attemptOf(Req, this->Ids, Upstream);
    this->Running.emplace_back(Req, SentAttempt);
    return this->sent([&](Actions &Out) {
      this->TestedPlugin.dispatched(Req, SentAttempt, this->Now, Out);
    });
  }
  /// Ends all attempts on the upstream with this outcome.
  std::vector<SendToPeer> end(const std::string &Upstream,
                              const AttemptOutcome &Outcome) {
    return this->sent([&](Actions &Out) {
      const auto IsThere = [&](const auto &Run) {
        return Run.second.Upstream.Value == Upstream;
      };
      for (const auto &[Req, SentAttempt] : this->Running) {
        if (SentAttempt.Upstream.Value == Upstream)
          this->TestedPlugin.attemptEnded(Req, SentAttempt, Outcome, this->Now,
                                          Out);
      }
      std::erase_if(this->Running, IsThere);
    });
  }
  std::vector<SendToPeer> die(const std::string &Upstream) {
    return this->end(Upstream, AttemptBroken{0, true});
  }
  bool isIsolated(std::uint64_t Content) {
    return this->TestedPlugin.isSuspect(
        TestRequestBuilder(1).content(Content).build(), this->Now);
  }
  bool isQuarantined(Fingerprint Content) {
    return this->TestedPlugin.isQuarantined(Content, this->Now);
  }
  std::vector<SendToPeer> receive(const PeerMessageBody &Body) {
    return this->handle(
        PeerMessageReceived{{HostId("h2"), Incarnation(2), Body}}, this->Now);
  }

  Time Now = Start;

private:
  std::uint64_t Ids = 0;
  std::vector<std::pair<Request, Attempt>> Running;
};

TEST(QuarantineTest, SecondDeathOfOnlySuspectQuarantinesOnAllHosts) {
  Host H1("h1");
  H1.run(66, "e1");
  EXPECT_EQ(H1.die("e1").size(), 2u);
  EXPECT_TRUE(H1.isIsolated(66));
  EXPECT_FALSE(H1.isQuarantined(poison()));
  H1.run(66, "e2");
  const auto Sent = H1.die("e2");
  EXPECT_TRUE(H1.isQuarantined(poison()));
  ASSERT_EQ(Sent.size(), 2u);
  ASSERT_EQ(H1.Log.Appended.size(), 1u);
  Host H2("h2");
  H2.receive(Sent[0].Body);
  EXPECT_TRUE(H2.isQuarantined(poison()));
  // A host that joins later reads the quarantine from the log and refuses the
  // content in a new request.
  Host H3("h3");
  Actions Out;
  StoredRecord Stored;
  Stored.Record.Body = H1.Log.Appended[0];
  H3.TestedPlugin.recordRead(Stored, Start, Out);
  const auto Refusal = H3.TestedPlugin.check(
      TestRequestBuilder(999).content(66).build(), Start + seconds(1));
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->Reason, RefusalReason::Quarantined);
  EXPECT_GT(Refusal->RetryAfter, seconds(60));
}

TEST(QuarantineTest, ResendToAnotherHostCountsAsSecondDeath) {
  Host H1("h1");
  Host H2("h2");
  H1.run(66, "e1");
  H2.receive(H1.die("e1").front().Body);
  EXPECT_TRUE(H2.isIsolated(66));
  H2.run(66, "e2");
  H2.die("e2");
  EXPECT_TRUE(H2.isQuarantined(poison()));
}

/// One of sixty contents crashes upstreams. Isolation starves no other content,
/// and the unaffected contents are not quarantined although they run on
/// upstreams that die.
TEST(QuarantineTest, OneAmongSixtyIsFoundAndTheOthersAreNotQuarantined) {
  Host H1("h1");
  for (std::uint64_t Content = 1; Content <= 60; ++Content)
    H1.run(Content == 30 ? 66 : Content, "e0");
  H1.die("e0");
  EXPECT_FALSE(H1.isIsolated(1));
  for (std::uint64_t Content = 1; Content <= 60; ++Content)
    H1.run(Content == 30 ? 66 : Content,
           "e" + std::to_string(1 + Content % 12));
  H1.Now += milliseconds(300);
  H1.die("e" + std::to_string(1 + 30 % 12));
  for (int Engine = 1; Engine <= 12; ++Engine)
    H1.end("e" + std::to_string(Engine), AttemptComplete{1, ""});
  EXPECT_TRUE(H1.isIsolated(66));
  EXPECT_TRUE(H1.isIsolated(6)); // Ran on the same upstream both times.
  EXPECT_FALSE(H1.isIsolated(1));
  H1.run(66, "e20");
  H1.run(6, "e21");
  H1.Now += milliseconds(300);
  H1.die("e20");
  H1.end("e21", AttemptComplete{1, ""});
  EXPECT_TRUE(H1.isQuarantined(poison()));
  for (std::uint64_t Content = 1; Content <= 60; ++Content)
    EXPECT_FALSE(H1.isQuarantined(Fingerprint(Content)));
}

/// Two hosts isolate their own suspects but choose the same upstream. Two dead
/// upstreams do not distinguish the suspects.
TEST(QuarantineTest, SuspectsOfTwoHostsOnOneUpstreamShareEvidence) {
  Host H1("h1");
  Host H2("h2");
  const auto Pass = [](const std::vector<SendToPeer> &Sent, Host &To) {
    for (const SendToPeer &Message : Sent) {
      if (Message.To == To.Self.Host)
        To.receive(Message.Body);
    }
  };
  H1.run(66, "e1");
  H2.run(1, "e1");
  H1.die("e1");
  H2.die("e1");
  Pass(H1.run(66, "e2"), H2);
  Pass(H2.run(1, "e2"), H1);
  Pass(H1.die("e2"), H2);
  Pass(H2.die("e2"), H1);
  EXPECT_FALSE(H1.isQuarantined(poison()));
  EXPECT_FALSE(H2.isQuarantined(Fingerprint(1)));
  Pass(H1.run(66, "e3"), H2);
  Pass(H2.run(1, "e4"), H1);
  H1.Now = H2.Now += seconds(3);
  Pass(H1.die("e3"), H2);
  H2.end("e4", AttemptComplete{1, ""});
  EXPECT_TRUE(H1.isQuarantined(poison()));
  EXPECT_TRUE(H2.isQuarantined(poison()));
  EXPECT_FALSE(H2.isIsolated(1));
}

TEST(QuarantineTest, SuspectIsClearedByCompletion) {
  Host H1("h1");
  H1.run(1, "e1");
  H1.die("e1");
  H1.run(1, "e2");
  const auto Sent = H1.end("e2", AttemptComplete{5, ""});
  EXPECT_FALSE(H1.isIsolated(1));
  Host H2("h2");
  H2.receive(QuarantineNotice{Fingerprint(1), 1, Start, {}, {}});
  H2.receive(Sent.front().Body);
  EXPECT_FALSE(H2.isIsolated(1));
  H1.run(1, "e3");
  H1.die("e3");
  EXPECT_FALSE(H1.isQuarantined(Fingerprint(1)));
}

TEST(QuarantineTest, RackFailureQuarantinesNoContent) {
  Host H1("h1");
  H1.run(1, "e1");
  H1.die("e1");
  H1.run(1, "e2");
  H1.run(2, "e3");
  H1.die("e3");
  H1.die("e2");
  EXPECT_FALSE(H1.isQuarantined(Fingerprint(1)));
  EXPECT_TRUE(H1.isIsolated(1));
}

TEST(QuarantineTest, DeathReportedTwiceCountsOnce) {
  Host H1("h1");
  H1.run(66, "e1");
  Upstream Dead;
  Dead.Listing.Id = UpstreamId("e1");
  Dead.Listing.Life = Incarnation(1);
  Dead.State = UpstreamState::Dead;
  Actions Out;
  H1.TestedPlugin.upstreamChanged(Dead, Start, Out);
  EXPECT_TRUE(H1.isIsolated(66));
  H1.die("e1");
  H1.TestedPlugin.upstreamChanged(Dead, Start, Out);
  EXPECT_FALSE(H1.isQuarantined(poison()));
  // The death of its next incarnation counts again, even while the fleet view
  // contains only the first incarnation.
  H1.run(66, "e1");
  H1.Now += seconds(3);
  H1.die("e1");
  EXPECT_TRUE(H1.isQuarantined(poison()));
}

TEST(QuarantineTest, QuarantineExpires) {
  QuarantineList List(seconds(1800));
  List.add(poison(), 2, Start);
  EXPECT_TRUE(List.isQuarantined(poison(), Start + seconds(1799)));
  EXPECT_FALSE(List.isQuarantined(poison(), Start + seconds(1800)));
}

/// Hosts that receive decisions in any order and repeatedly keep the latest
/// decision.
RC_GTEST_PROP(QuarantineTest, LatestDecisionWinsInAnyOrder, ()) {
  const int Count = *rc::gen::inRange(1, 8);
  QuarantineList Deciding(seconds(1800));
  std::vector<QuarantinedContent> Sent;
  Time Now = Start;
  for (int Step = 0; Step < Count; ++Step) {
    Now += seconds(*rc::gen::inRange(1, 100));
    Sent.push_back(*rc::gen::arbitrary<bool>()
                       ? Deciding.add(poison(), 2, Now)
                       : Deciding.release(poison(), Now));
  }
  QuarantineList Learning(seconds(1800));
  const auto Order = *rc::gen::container<std::vector<int>>(
      std::size_t(2) * Count, rc::gen::inRange(0, Count));
  for (const int Index : Order)
    Learning.merge(Sent[static_cast<std::size_t>(Index)], Now);
  Learning.merge(Sent.back(), Now);
  for (const int Index : Order)
    Learning.merge(Sent[static_cast<std::size_t>(Index)], Now);
  RC_ASSERT(Learning.isQuarantined(poison(), Now) ==
            Deciding.isQuarantined(poison(), Now));
}

TEST(QuarantineTest, ReleaseReachesPeersAndOverridesLateNotices) {
  Host H1("h1");
  H1.run(66, "e1");
  H1.die("e1");
  H1.run(66, "e2");
  const auto Quarantined = H1.die("e2");
  H1.Now += seconds(60);
  const auto Released = H1.sent(
      [&](Actions &Out) { H1.TestedPlugin.release(poison(), H1.Now, Out); });
  Host H2("h2");
  H2.Now = H1.Now;
  H2.receive(Quarantined.front().Body);
  EXPECT_TRUE(H2.isQuarantined(poison()));
  H2.receive(Released.front().Body);
  H2.receive(Quarantined.front().Body);
  EXPECT_FALSE(H2.isQuarantined(poison()));
  EXPECT_EQ(H1.Log.Appended.size(), 2u);
}

} // namespace
} // namespace banyanpick
