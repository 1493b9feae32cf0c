/// \file
/// Tests fairness among teams over several entry hosts and the traffic of the
/// usage reports.
#include <gtest/gtest.h>

#include "fakes/PluginViews.h"
#include "fakes/TestRequestBuilder.h"
#include "plugins/fairness/FairnessPlugin.h"
#include "wire/PeerCodec.h"

#include <memory>

namespace banyanpick {
namespace {

using Bench = PluginBench<FairnessPlugin>;

/// Hosts with a backlog of requests from several teams. Every host dispatches
/// the same number of requests per second, in the order of its queues.
class Backlog {
public:
  explicit Backlog(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      this->Hosts.push_back(
          std::make_unique<Bench>("h" + std::to_string(Index)));
      for (std::size_t Peer = 0; Peer < Count; ++Peer) {
        if (Peer != Index)
          this->Hosts.back()->Members.add(HostId("h" + std::to_string(Peer)));
      }
    }
  }
  void declare(const std::string &Team, std::uint32_t RequestsPerMinute) {
    TeamEntry Limits;
    Limits.RequestsPerMinute = RequestsPerMinute;
    for (auto &Host : this->Hosts)
      Host->Entries.add(TeamId(Team), Limits);
  }
  void start() {
    for (auto &Host : this->Hosts)
      Host->start();
  }
  void push(std::size_t Host, const std::string &Team) {
    const Request Req = TestRequestBuilder(++this->Ids)
                            .team(Team)
                            .output(0)
                            .arrived(this->Now, seconds(100'000));
    this->Waiting[Req.id()] = Req;
    this->Hosts[Host]->TestedPlugin.push(Req, this->Now);
  }
  /// Dispatches requests on every host, advances the time by one second and
  /// delivers the messages between hosts.
  void serve(std::size_t PerHost) {
    for (auto &Host : this->Hosts) {
      for (std::size_t Index = 0; Index < PerHost; ++Index)
        this->dispatchOne(*Host);
    }
    this->Now += seconds(1);
    std::vector<std::pair<HostId, SendToPeer>> Messages;
    for (auto &Host : this->Hosts) {
      for (SendToPeer &Message : Host->handle(Tick(), this->Now))
        Messages.emplace_back(Host->Self.Host, std::move(Message));
    }
    for (const auto &[From, Message] : Messages) {
      const PeerMessage Sent{From, Incarnation(7), Message.Body};
      this->Bytes += encodePeerMessage(Sent).size();
      const auto To = std::stoul(Message.To.Value.substr(1));
      this->Hosts[To]->handle(PeerMessageReceived{Sent}, this->Now);
    }
  }

  std::vector<std::unique_ptr<Bench>> Hosts;
  std::map<TeamId, double> Work;
  std::size_t Bytes = 0;
  Time Now{seconds(1000)};

private:
  void dispatchOne(Bench &Host) {
    const auto Next = Host.TestedPlugin.candidates(1, this->Now);
    if (Next.empty())
      return;
    const Request Sent = this->Waiting.at(Next.front());
    Actions Out;
    Host.TestedPlugin.remove(Sent.id());
    Host.TestedPlugin.dispatched(Sent, attemptOf(Sent, Sent.id().Value, "e"),
                                 this->Now, Out);
    this->Work[Sent.Team] += static_cast<double>(Sent.Head.PromptTokens);
  }

  std::map<RequestId, Request> Waiting;
  std::uint64_t Ids = 0;
};

/// Returns Jain's fairness index of the work per team; 1 if all are equal.
double jain(const std::map<TeamId, double> &Work) {
  double Sum = 0;
  double Squares = 0;
  for (const auto &[Team, Tokens] : Work) {
    Sum += Tokens;
    Squares += Tokens * Tokens;
  }
  return Sum * Sum / (static_cast<double>(Work.size()) * Squares);
}

TEST(FairnessHostsTest, SpreadingDoesNotFavourALargeTeam) {
  Backlog Backlogs(3);
  Backlogs.declare("large", 600);
  for (int Host = 0; Host < 3; ++Host)
    Backlogs.declare("small" + std::to_string(Host), 600);
  Backlogs.start();
  for (std::size_t Host = 0; Host < 3; ++Host) {
    for (int Index = 0; Index < 3000; ++Index) {
      Backlogs.push(Host, "large");
      Backlogs.push(Host, "small" + std::to_string(Host));
    }
  }
  for (int Second = 0; Second < 120; ++Second)
    Backlogs.serve(20);
  std::printf("Jain's index over three hosts: %.4f\n", jain(Backlogs.Work));
  EXPECT_GE(jain(Backlogs.Work), 0.98);
}

/// One of 320 hosts, with 300 active teams that have the largest limits.
TEST(FairnessHostsTest, ReportedBytesAreBounded) {
  constexpr int Teams = 300;
  constexpr int Seconds = 20;
  Backlog Backlogs(1);
  for (int Peer = 1; Peer < 320; ++Peer)
    Backlogs.Hosts[0]->Members.add(HostId("host-" + std::to_string(Peer)));
  for (int Team = 0; Team < Teams; ++Team)
    Backlogs.declare("member-house-" + std::to_string(Team), 3000);
  Backlogs.start();
  std::size_t Bytes = 0;
  for (int Second = 0; Second < Seconds; ++Second) {
    for (int Team = 0; Team < Teams; ++Team)
      Backlogs.push(0, "member-house-" + std::to_string(Team));
    Actions Out;
    for (const RequestId &Id :
         Backlogs.Hosts[0]->TestedPlugin.candidates(Teams, Backlogs.Now))
      Backlogs.Hosts[0]->TestedPlugin.remove(Id);
    for (int Team = 0; Team < Teams; ++Team) {
      const Request Sent = TestRequestBuilder(100'000 + Team)
                               .team("member-house-" + std::to_string(Team))
                               .prompt(50'000 + Second);
      Backlogs.Hosts[0]->TestedPlugin.dispatched(Sent, attemptOf(Sent, 1, "e"),
                                                 Backlogs.Now, Out);
    }
    Backlogs.Now += seconds(1);
    for (SendToPeer &Message : Backlogs.Hosts[0]->handle(Tick(), Backlogs.Now))
      Bytes += encodePeerMessage(
                   {HostId("host-0"), Incarnation(7), std::move(Message.Body)})
                   .size();
  }
  std::printf("usage reports: %.0f bytes a second\n",
              static_cast<double>(Bytes) / Seconds);
  EXPECT_LE(Bytes / Seconds, 5000u);
}

} // namespace
} // namespace banyanpick
