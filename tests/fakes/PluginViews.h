/// \file
/// Fakes of the services that plug-ins provide to each other, and a test bench
/// that starts one plug-in with them.
#pragma once

#include "kernel/Plugin.h"

#include <functional>
#include <set>

namespace banyanpick {

class FakeCatalogueView : public CatalogueView {
public:
  const Catalogue &catalogue() const override { return this->InForce; }
  bool isReady() const override { return true; }
  bool isCurrent(Time) const override { return true; }

  void add(const TeamId &Team, const TeamEntry &Limits) {
    EntryMap Entries = this->InForce.entries();
    Entries[{EntryKind::Team, Team.Value}] = {OwnerId("o"), Limits, 1};
    this->InForce.restore(std::move(Entries), this->InForce.offset() + 1);
  }

  void add(const ModelId &Model, const ModelEntry &Declared) {
    EntryMap Entries = this->InForce.entries();
    Entries[{EntryKind::Model, Model.Value}] = {OwnerId("o"), Declared, 1};
    this->InForce.restore(std::move(Entries), this->InForce.offset() + 1);
  }

private:
  Catalogue InForce;
};

class FakeMembershipView : public MembershipView {
public:
  explicit FakeMembershipView(HostId Self) : Self(std::move(Self)) {}

  const HostId &self() const override { return this->Self; }
  Incarnation selfLife() const override { return this->Life; }
  const ZoneId &selfZone() const override { return this->Zone; }
  std::span<const Member> peers() const override { return this->Peers; }
  std::vector<HostId> livePeers() const override {
    std::vector<HostId> Live;
    for (const Member &Peer : this->Peers) {
      if (Peer.State == MemberState::Alive)
        Live.push_back(Peer.Listing.Id);
    }
    return Live;
  }
  bool isDead(const HostId &Host, Incarnation Life) const override {
    return this->Dead.contains({Host, Life});
  }
  bool hasLeft(const HostId &Host, Incarnation Life) const override {
    return this->Left.contains({Host, Life});
  }

  Member &at(std::size_t Index) { return this->Peers[Index]; }
  void add(const HostId &Host) {
    Member Added;
    Added.Listing.Id = Host;
    Added.Listing.Zone = this->Zone;
    Added.Life = Incarnation(1);
    this->Peers.push_back(Added);
  }
  void setLife(const HostId &Host, Incarnation Life) {
    for (Member &Peer : this->Peers) {
      if (Peer.Listing.Id == Host)
        Peer.Life = Life;
    }
  }
  void setState(const HostId &Host, MemberState State) {
    for (Member &Peer : this->Peers) {
      if (Peer.Listing.Id == Host)
        Peer.State = State;
    }
  }

  Incarnation Life{1};

  std::set<std::pair<HostId, Incarnation>> Dead;
  std::set<std::pair<HostId, Incarnation>> Left;

private:
  HostId Self;
  ZoneId Zone{"z"};
  std::vector<Member> Peers;
};

class FakeLogWriter : public LogWriter {
public:
  RecordId append(LogRecordBody Body, Time, Actions &) override {
    this->Appended.push_back(std::move(Body));
    return {Incarnation(1), this->Appended.size()};
  }
  bool isReachable(Time) const override { return true; }

  std::vector<LogRecordBody> Appended;
};

class FakeQuarantineView : public QuarantineView {
public:
  bool isSuspect(const Request &, Time) const override { return false; }
  bool isQuarantined(Fingerprint, Time) const override { return false; }
};

/// Runs one plug-in with fake services, as on the entry host \p Name.
template <class PluginType> class PluginBench {
public:
  explicit PluginBench(const std::string &Name)
      : Members(HostId(Name)),
        Values(Settings::defaults(PluginType::settings())) {
    this->Self.Host = HostId(Name);
    this->Self.Life = Incarnation(1);
    this->Registry.template provide<CatalogueView>(this->Entries);
    this->Registry.template provide<MembershipView>(this->Members);
    this->Registry.template provide<LogWriter>(this->Log);
    this->Registry.template provide<QuarantineView>(this->Quarantine);
  }

  void start() {
    PluginContext Context(this->Self, this->Values, this->Registry, this->Rng);
    this->TestedPlugin.initialize(Context);
  }

  /// Returns the peer messages that \p Step sends.
  std::vector<SendToPeer> sent(const std::function<void(Actions &)> &Step) {
    Actions Out;
    Step(Out);
    std::vector<SendToPeer> Result;
    for (const Action &Candidate : Out.items()) {
      if (const auto *Message = std::get_if<SendToPeer>(&Candidate))
        Result.push_back(*Message);
    }
    return Result;
  }

  std::vector<SendToPeer> handle(const Event &Incoming, Time Now) {
    return this->sent(
        [&](Actions &Out) { this->TestedPlugin.handle(Incoming, Now, Out); });
  }

  FakeCatalogueView Entries;
  FakeMembershipView Members;
  FakeLogWriter Log;
  FakeQuarantineView Quarantine;
  Identity Self;
  Settings Values;
  Services Registry;
  Random Rng{1};
  PluginType TestedPlugin;
};

} // namespace banyanpick
