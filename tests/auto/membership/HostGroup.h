/// \file
/// Simulates several membership plug-ins that exchange heartbeats in virtual
/// time with a fixed delay. Hosts may be frozen, ended or partitioned.
#pragma once

#include "plugins/membership/MembershipPlugin.h"

#include <map>
#include <memory>
#include <set>

namespace banyanpick {

class HostGroup {
public:
  static constexpr Duration Delay = milliseconds(2);

  explicit HostGroup(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      this->start(Index, Index + 1);
  }

  static HostId name(std::size_t Index) {
    return HostId("host-" + std::to_string(1000 + Index));
  }

  /// Starts a process on the host and replaces an earlier one.
  void start(std::size_t Index, std::uint64_t Life) {
    auto &Slot = this->Hosts[Index];
    Slot = std::make_unique<Host>(Index, Life);
    this->Ended.erase(Index);
    this->Frozen.erase(Index);
  }
  void end(std::size_t Index) { this->Ended.insert(Index); }
  void freeze(std::size_t Index) { this->Frozen.insert(Index); }
  void resume(std::size_t Index) { this->Frozen.erase(Index); }
  void partition(std::size_t First, std::size_t Second) {
    this->Partitions.insert(std::minmax(First, Second));
  }
  void heal() { this->Partitions.clear(); }

  /// Runs until the given time, in seconds since the start.
  void run(double Until) {
    const Time End = Begin + fromSeconds(Until);
    while (this->Now < End) {
      this->deliver();
      for (auto &[Index, Node] : this->Hosts)
        if (this->runs(Index) && Node->Plugin.nextWake() <= this->Now)
          this->feed(Index, Tick{});
      this->Now += milliseconds(10);
    }
  }
  void feed(std::size_t Index, const Event &Incoming) {
    Actions Out;
    this->Hosts.at(Index)->Plugin.handle(Incoming, this->Now, Out);
    for (const Action &Output : Out.items())
      this->carryOut(Index, Output);
  }

  const MembershipPlugin &at(std::size_t Index) const {
    return this->Hosts.at(Index)->Plugin;
  }
  /// Returns the entry of host \p Observed in the table of host \p Observer.
  const Member &memberSeenBy(std::size_t Observer, std::size_t Observed) const {
    for (const Member &Peer : this->at(Observer).peers())
      if (Peer.Listing.Id == name(Observed))
        return Peer;
    throw std::out_of_range("not a peer");
  }
  std::map<std::size_t, std::uint64_t> MessagesSent;
  std::map<std::size_t, std::uint64_t> UpdatesSent;
  std::vector<HostListing> Listed;

private:
  static constexpr Time Begin = Time(seconds(1000));

  struct Host {
    Host(std::size_t Index, std::uint64_t Life)
        : Self{name(Index), Incarnation(Life), ZoneId("zone-1"), {}, {}, {}},
          Rng(Life) {
      const auto Declared = MembershipPlugin::settings();
      this->Values = Settings::defaults(Declared);
      PluginContext Context(this->Self, this->Values, this->Registry,
                            this->Rng);
      this->Plugin.initialize(Context);
    }
    Identity Self;
    Settings Values;
    Services Registry;
    Random Rng;
    MembershipPlugin Plugin;
  };
  struct InFlight {
    Time DeliveredAt;
    std::size_t To;
    PeerMessage Message;
  };

  bool runs(std::size_t Index) const {
    return !this->Ended.contains(Index) && !this->Frozen.contains(Index);
  }
  void carryOut(std::size_t From, const Action &Requested) {
    if (std::holds_alternative<ReadHostList>(Requested)) {
      HostListRead List;
      for (const auto &[Index, Node] : this->Hosts)
        List.Hosts.push_back(
            {name(Index), ZoneId("zone-1"), {}, {}, false, {}});
      this->feed(From, List);
      return;
    }
    const auto *Sent = std::get_if<SendToPeer>(&Requested);
    if (!Sent)
      return;
    const std::size_t To = std::stoul(Sent->To.Value.substr(5)) - 1000;
    ++this->MessagesSent[From];
    this->UpdatesSent[From] += std::get<Heartbeat>(Sent->Body).Updates.size();
    if (!this->Partitions.contains(std::minmax(From, To)))
      this->Network.push_back(
          {this->Now + Delay,
           To,
           {name(From), this->at(From).selfLife(), Sent->Body}});
  }
  void deliver() {
    std::vector<InFlight> Due;
    std::vector<InFlight> Later;
    for (InFlight &Packet : this->Network) {
      if (this->Frozen.contains(Packet.To) || Packet.DeliveredAt > this->Now)
        Later.push_back(std::move(Packet));
      else if (!this->Ended.contains(Packet.To))
        Due.push_back(std::move(Packet));
    }
    this->Network = std::move(Later);
    for (const InFlight &Packet : Due)
      this->feed(Packet.To, PeerMessageReceived{Packet.Message});
  }

  Time Now = Begin;
  std::map<std::size_t, std::unique_ptr<Host>> Hosts;
  std::set<std::size_t> Ended;
  std::set<std::size_t> Frozen;
  std::set<std::pair<std::size_t, std::size_t>> Partitions;
  std::vector<InFlight> Network;
};

} // namespace banyanpick
