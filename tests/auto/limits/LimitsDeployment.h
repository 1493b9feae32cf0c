/// \file
/// The limits plug-in on several entry hosts, with a network that can lose,
/// repeat, reorder and be cut, and membership views set by the test.
#pragma once

#include "fakes/PluginViews.h"
#include "fakes/RequestMaker.h"
#include "plugins/limits/LimitsPlugin.h"

#include <functional>
#include <memory>

namespace banyanpick {

class LimitsDeployment {
public:
  using Bench = PluginBench<LimitsPlugin>;

  LimitsDeployment(std::size_t Count, const TeamEntry &Limits) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      this->Hosts.push_back(std::make_unique<Bench>(name(Index)));
      Bench &Added = *this->Hosts.back();
      for (std::size_t Peer = 0; Peer < Count; ++Peer) {
        if (Peer != Index)
          Added.Members.add(HostId(name(Peer)));
      }
      Added.Entries.add(team(), Limits);
      Added.start();
    }
  }

  static TeamId team() { return TeamId("a"); }
  static std::string name(std::size_t Index) {
    return "h" + std::to_string(Index);
  }

  /// A request of the team at a host; true when it is admitted.
  bool ask(std::size_t Host) {
    const Request Asked = RequestMaker(++this->Requests)
                              .prompt(900)
                              .output(100)
                              .arrived(this->Now, seconds(60));
    Bench &At = *this->Hosts[Host];
    const auto Refusal = At.Tested.check(Asked, this->Now);
    if (Refusal) {
      this->LastRefusal = *Refusal;
      return false;
    }
    Actions Out;
    At.Tested.admitted(Asked, this->Now, Out);
    this->Running.emplace_back(Host, Asked);
    return true;
  }
  /// All that runs ends.
  void endAll() {
    Actions Out;
    for (const auto &[Host, Asked] : this->Running)
      this->Hosts[Host]->Tested.ended(Asked, WholeAnswer{100, ""}, this->Now,
                                      Out);
    this->Running.clear();
  }
  std::size_t running() const { return this->Running.size(); }

  /// Time passes; every host that is due handles a tick.
  void tick(Duration Step) {
    this->Now += Step;
    for (std::size_t Index = 0; Index < this->Hosts.size(); ++Index) {
      if (this->Hosts[Index]->Tested.nextWake() <= this->Now)
        this->send(Index, this->Hosts[Index]->handle(Tick(), this->Now));
    }
  }
  void send(std::size_t From, std::vector<SendToPeer> Messages) {
    for (SendToPeer &Each : Messages)
      this->InFlight.push_back({From, std::move(Each)});
  }
  /// Delivers a message of those in flight, and keeps it when it is repeated.
  void deliver(std::size_t Which, bool IsRepeated) {
    const auto [From, Sent] = this->InFlight[Which];
    if (!IsRepeated)
      this->InFlight.erase(this->InFlight.begin() +
                           static_cast<std::ptrdiff_t>(Which));
    const std::size_t To = std::stoul(Sent.To.Value.substr(1));
    if (this->IsCut && this->IsCut(From, To))
      return;
    PeerMessage Message{HostId(name(From)), Incarnation(1), Sent.Body};
    this->send(
        To, this->Hosts[To]->handle(PeerMessageReceived{Message}, this->Now));
  }
  void deliverAll() {
    while (!this->InFlight.empty())
      this->deliver(0, false);
  }
  /// Host \p At sees host \p Of in a state from now on.
  void see(std::size_t At, std::size_t Of, MemberState State) {
    Bench &Seeing = *this->Hosts[At];
    Seeing.Members.setState(HostId(name(Of)), State);
    Actions Out;
    Seeing.Tested.memberChanged(Member(), this->Now, Out);
  }

  double fraction(std::size_t Host) {
    return this->Hosts[Host]->Tested.fraction(team(), this->Now);
  }
  double sumOfFractions() {
    double Sum = 0;
    for (std::size_t Index = 0; Index < this->Hosts.size(); ++Index)
      Sum += this->fraction(Index);
    return Sum;
  }
  std::size_t invariantsBroken() {
    InvariantMonitor Monitor;
    for (const auto &Each : this->Hosts)
      Each->Tested.checkInvariants(Monitor, this->Now);
    return Monitor.takeBroken().size();
  }

  Time Now{seconds(1000)};
  std::vector<std::unique_ptr<Bench>> Hosts;
  std::vector<std::pair<std::size_t, SendToPeer>> InFlight;
  std::function<bool(std::size_t, std::size_t)> IsCut;
  NotRun LastRefusal;

private:
  std::uint64_t Requests = 0;
  std::vector<std::pair<std::size_t, Request>> Running;
};

} // namespace banyanpick
