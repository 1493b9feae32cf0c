/// \file
/// Several membership plug-ins that exchange heartbeats in virtual time, with
/// a fixed delay; hosts may be frozen, ended or cut off from each other.
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

  /// Starts a process on the host, in the place of an earlier one.
  void start(std::size_t Index, std::uint64_t Life) {
    auto &Slot = this->Hosts[Index];
    Slot = std::make_unique<Host>(Index, Life);
    this->Ended.erase(Index);
    this->Frozen.erase(Index);
  }
  void end(std::size_t Index) { this->Ended.insert(Index); }
  void freeze(std::size_t Index) { this->Frozen.insert(Index); }
  void thaw(std::size_t Index) { this->Frozen.erase(Index); }
  void cut(std::size_t First, std::size_t Second) {
    this->Cuts.insert(std::minmax(First, Second));
  }
  void heal() { this->Cuts.clear(); }

  /// Runs until the time, in seconds since the start.
  void run(double Until) {
    const Time End = Begin + fromSeconds(Until);
    while (this->Now < End) {
      this->deliver();
      for (auto &[Index, Each] : this->Hosts)
        if (this->runs(Index) && Each->Plugin.nextWake() <= this->Now)
          this->feed(Index, Tick{});
      this->Now += milliseconds(10);
    }
  }
  void feed(std::size_t Index, const Event &What) {
    Actions Out;
    this->Hosts.at(Index)->Plugin.handle(What, this->Now, Out);
    for (const Action &Each : Out.items())
      this->carryOut(Index, Each);
  }

  const MembershipPlugin &at(std::size_t Index) const {
    return this->Hosts.at(Index)->Plugin;
  }
  /// How \p Of looks from \p From.
  const Member &seen(std::size_t From, std::size_t Of) const {
    for (const Member &Each : this->at(From).peers())
      if (Each.Listing.Id == name(Of))
        return Each;
    throw std::out_of_range("not a peer");
  }
  std::map<std::size_t, std::uint64_t> MessagesSent;
  std::map<std::size_t, std::uint64_t> RumoursSent;
  std::vector<HostListing> Listed;

private:
  static constexpr Time Begin = Time(seconds(1000));

  struct Host {
    Host(std::size_t Index, std::uint64_t Life)
        : Self{name(Index), Incarnation(Life), ZoneId("zone-1"), {}, {}, {}},
          Numbers(Life) {
      const auto Declared = MembershipPlugin::settings();
      this->Values = Settings::defaults(Declared);
      PluginContext Context(this->Self, this->Values, this->Offered,
                            this->Numbers);
      this->Plugin.initialize(Context);
    }
    Identity Self;
    Settings Values;
    Services Offered;
    Random Numbers;
    MembershipPlugin Plugin;
  };
  struct Flying {
    Time At;
    std::size_t To;
    PeerMessage Message;
  };

  bool runs(std::size_t Index) const {
    return !this->Ended.contains(Index) && !this->Frozen.contains(Index);
  }
  void carryOut(std::size_t From, const Action &Wanted) {
    if (std::holds_alternative<ReadHostList>(Wanted)) {
      HostListRead List;
      for (const auto &[Index, Each] : this->Hosts)
        List.Hosts.push_back(
            {name(Index), ZoneId("zone-1"), {}, {}, false, {}});
      this->feed(From, List);
      return;
    }
    const auto *Sent = std::get_if<SendToPeer>(&Wanted);
    if (!Sent)
      return;
    const std::size_t To = std::stoul(Sent->To.Value.substr(5)) - 1000;
    ++this->MessagesSent[From];
    this->RumoursSent[From] += std::get<Heartbeat>(Sent->Body).Updates.size();
    if (!this->Cuts.contains(std::minmax(From, To)))
      this->Wire.push_back(
          {this->Now + Delay,
           To,
           {name(From), this->at(From).selfLife(), Sent->Body}});
  }
  void deliver() {
    std::vector<Flying> Due;
    std::vector<Flying> Later;
    for (Flying &Each : this->Wire) {
      if (this->Frozen.contains(Each.To) || Each.At > this->Now)
        Later.push_back(std::move(Each));
      else if (!this->Ended.contains(Each.To))
        Due.push_back(std::move(Each));
    }
    this->Wire = std::move(Later);
    for (const Flying &Each : Due)
      this->feed(Each.To, PeerMessageReceived{Each.Message});
  }

  Time Now = Begin;
  std::map<std::size_t, std::unique_ptr<Host>> Hosts;
  std::set<std::size_t> Ended;
  std::set<std::size_t> Frozen;
  std::set<std::pair<std::size_t, std::size_t>> Cuts;
  std::vector<Flying> Wire;
};

} // namespace banyanpick
