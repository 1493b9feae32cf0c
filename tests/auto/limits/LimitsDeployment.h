/// \file
/// The limits plug-in on several entry hosts. The simulated network can lose,
/// repeat and reorder messages and can be partitioned. The test sets the
/// membership views.
#pragma once

#include "fakes/PluginViews.h"
#include "fakes/TestRequestBuilder.h"
#include "kernel/ServingHosts.h"
#include "plugins/limits/LimitsPlugin.h"

#include <algorithm>
#include <functional>
#include <memory>

namespace banyanpick {

class LimitsDeployment {
public:
  using Bench = PluginBench<LimitsPlugin>;

  LimitsDeployment(std::size_t Count, const TeamEntry &Limits)
      : Limits(Limits) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->Hosts.push_back(this->make(Index, Count, 1));
  }

  static TeamId team() { return TeamId("a"); }
  static std::string name(std::size_t Index) {
    return "h" + std::to_string(Index);
  }

  /// Sends a request of the team to a host. Returns whether it is admitted.
  bool sendRequest(std::size_t Host) {
    const Request Req = TestRequestBuilder(++this->Requests)
                            .prompt(900)
                            .output(100)
                            .arrived(this->Now, seconds(60));
    Bench &HostBench = *this->Hosts[Host];
    const auto Refusal = HostBench.TestedPlugin.check(Req, this->Now);
    if (Refusal) {
      this->LastRefusal = *Refusal;
      return false;
    }
    Actions Out;
    HostBench.TestedPlugin.admitted(Req, this->Now, Out);
    this->Running.emplace_back(Host, Req);
    return true;
  }
  /// Ends all running requests.
  void endAll() {
    Actions Out;
    for (const auto &[Host, Req] : this->Running)
      this->Hosts[Host]->TestedPlugin.ended(Req, CompleteAnswer{100, ""},
                                            this->Now, Out);
    this->Running.clear();
  }
  std::size_t running() const { return this->Running.size(); }

  /// Advances the time. Each host whose wake time is reached handles a tick.
  void tick(Duration Step) {
    this->Now += Step;
    for (std::size_t Index = 0; Index < this->Hosts.size(); ++Index) {
      if (this->Hosts[Index]->TestedPlugin.nextWake() <= this->Now)
        this->send(Index, this->Hosts[Index]->handle(Tick(), this->Now));
    }
  }
  void send(std::size_t From, const std::vector<SendToPeer> &Messages) {
    for (const SendToPeer &Message : Messages)
      this->InFlight.push_back(
          {{HostId(name(From)), this->Hosts[From]->Self.Life, Message.Body},
           std::stoul(Message.To.Value.substr(1))});
  }
  /// Delivers a message in flight. A repeated message also stays in flight.
  void deliver(std::size_t Index, bool IsRepeated) {
    const auto [Message, To] = this->InFlight[Index];
    if (!IsRepeated)
      this->InFlight.erase(this->InFlight.begin() +
                           static_cast<std::ptrdiff_t>(Index));
    if (this->IsPartitioned &&
        this->IsPartitioned(std::stoul(Message.From.Value.substr(1)), To))
      return;
    this->send(
        To, this->Hosts[To]->handle(PeerMessageReceived{Message}, this->Now));
  }
  void deliverAll() {
    while (!this->InFlight.empty())
      this->deliver(0, false);
  }
  /// Restarts the host with a new incarnation that all its peers know.
  void restart(std::size_t Host) {
    const Incarnation Life(this->Hosts[Host]->Self.Life.Value + 1);
    std::erase_if(this->Running,
                  [&](const auto &Item) { return Item.first == Host; });
    this->Hosts[Host] = this->make(Host, this->Hosts.size(), Life.Value);
    for (std::size_t Peer = 0; Peer < this->Hosts.size(); ++Peer) {
      if (Peer == Host)
        continue;
      this->Hosts[Host]->Members.setLife(HostId(name(Peer)),
                                         this->Hosts[Peer]->Self.Life);
      this->Hosts[Peer]->Members.setLife(HostId(name(Host)), Life);
      this->setMemberState(Peer, Host, MemberState::Alive);
    }
  }
  /// Returns whether the host has a base share of the limit.
  bool hasBaseShare(std::size_t Host) {
    Bench &HostBench = *this->Hosts[Host];
    const auto Serving =
        ServingHosts(HostBench.Entries.catalogue(), HostBench.Members);
    const auto Chosen = Serving.of(team());
    return std::find(Chosen.begin(), Chosen.end(), HostBench.Self.Host) !=
           Chosen.end();
  }
  /// Sets the state of \p Peer in the membership view of \p Observer.
  void setMemberState(std::size_t Observer, std::size_t Peer,
                      MemberState State) {
    Bench &HostBench = *this->Hosts[Observer];
    HostBench.Members.setState(HostId(name(Peer)), State);
    Actions Out;
    HostBench.TestedPlugin.memberChanged(Member(), this->Now, Out);
  }

  double fraction(std::size_t Host) {
    return this->Hosts[Host]->TestedPlugin.fraction(team(), this->Now);
  }
  double sumOfFractions() {
    double Sum = 0;
    for (std::size_t Index = 0; Index < this->Hosts.size(); ++Index)
      Sum += this->fraction(Index);
    return Sum;
  }
  std::size_t invariantsBroken() {
    InvariantMonitor Monitor;
    for (const auto &Item : this->Hosts)
      Item->TestedPlugin.checkInvariants(Monitor, this->Now);
    return Monitor.takeBroken().size();
  }

  Time Now{seconds(1000)};
  std::vector<std::unique_ptr<Bench>> Hosts;
  /// Messages in flight, each with the index of its receiver.
  std::vector<std::pair<PeerMessage, std::size_t>> InFlight;
  std::function<bool(std::size_t, std::size_t)> IsPartitioned;
  NotRun LastRefusal;

private:
  std::unique_ptr<Bench> make(std::size_t Index, std::size_t Count,
                              std::uint64_t Life) const {
    auto Result = std::make_unique<Bench>(name(Index));
    Result->Self.Life = Incarnation(Life);
    Result->Members.Life = Incarnation(Life);
    for (std::size_t Peer = 0; Peer < Count; ++Peer) {
      if (Peer != Index)
        Result->Members.add(HostId(name(Peer)));
    }
    Result->Entries.add(team(), this->Limits);
    Result->start();
    return Result;
  }

  TeamEntry Limits;
  std::uint64_t Requests = 0;
  std::vector<std::pair<std::size_t, Request>> Running;
};

} // namespace banyanpick
