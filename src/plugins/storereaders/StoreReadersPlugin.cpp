#include "plugins/storereaders/StoreReadersPlugin.h"

#include "base/EventNumbers.h"
#include "base/RendezvousHash.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>
#include <utility>

namespace banyanpick {

namespace {

/// A host that may read the store, with its rank.
struct Candidate {
  const HostId *Host = nullptr;
  const ZoneId *Zone = nullptr;
  std::uint64_t Weight = 0;
  std::size_t ZoneRank = 0; ///< Rank within its data centre.
};

/// Sorts the hosts into the selection order: the first of each data centre,
/// then the second of each, so that no network partition separates all readers.
void sortBySelectionOrder(std::vector<Candidate> &Hosts) {
  std::ranges::sort(Hosts, {}, [](const Candidate &Entry) {
    return std::tuple(*Entry.Zone, Entry.Weight, *Entry.Host);
  });
  for (std::size_t Index = 1; Index < Hosts.size(); ++Index)
    if (*Hosts[Index].Zone == *Hosts[Index - 1].Zone)
      Hosts[Index].ZoneRank = Hosts[Index - 1].ZoneRank + 1;
  std::ranges::sort(Hosts, {}, [](const Candidate &Entry) {
    return std::tuple(Entry.ZoneRank, Entry.Weight, *Entry.Host);
  });
}

} // namespace

void StoreReadersPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view Section = "store_readers";
  this->Registry = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->ReaderCount = Values.whole(Section, "hosts");
  this->CheckInterval = Values.span(Section, "look_interval");
  this->DeputyCount = Values.whole(Section, "deputies");
  this->DeputyAge = Values.span(Section, "deputy_age");
  this->MaxAge = Values.span(Section, "most_age");
  this->MaxSilence = Values.span(Section, "most_silence");
  Context.services().provide<StoreFreshness>(*this);
  Context.services().list<MembershipObserver>().add(*this);
}

void StoreReadersPlugin::start(Time Now, Actions &) {
  this->Routing = this->Registry->find<RouteView>();
  this->NextCheck = Now + this->CheckInterval;
}

void StoreReadersPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  match(
      Incoming,
      [&](const GatewayEvent &Gateway) {
        if (std::holds_alternative<EnginesRead>(Gateway))
          this->ConfirmedAt = Now;
      },
      [&](const PeerMessageReceived &Received) {
        const auto *Beat = std::get_if<Heartbeat>(&Received.Message.Body);
        if (Beat && Beat->StoreAge != Duration::max())
          this->ConfirmedAt = std::max(this->ConfirmedAt, Now - Beat->StoreAge);
      },
      [](const auto &) {});
  if (Now >= this->NextCheck)
    this->updateRole(Now, Out);
}

void StoreReadersPlugin::updateRole(Time Now, Actions &Out) {
  this->NextCheck = Now + this->CheckInterval;
  const std::string_view Reason = this->readingReason(Now);
  if (Reason.empty() != this->IsReader)
    return;
  this->IsReader = !Reason.empty();
  Out.log(logEvent(this->IsReader ? events::StoreFollowed : events::StoreLeft)
              .with("why", this->IsReader ? Reason : "others read it")
              .with("confirmed_us_ago", this->ConfirmedAt == Time{}
                                            ? -1
                                            : (Now - this->ConfirmedAt).count())
              .with("hosts", this->Members->peers().size() + 1)
              .build());
  Out.count("store_reading_changed", this->IsReader ? "on" : "off");
  Out.add(GatewayAction(FollowStore{this->IsReader}));
}

std::string_view StoreReadersPlugin::readingReason(Time Now) {
  if (std::exchange(this->MembersChanged, false))
    this->Rank = this->ownRank();
  if (this->Rank < this->ReaderCount)
    return "chosen";
  // Peers have the version but their documents don't get here.
  if (this->Routing && this->Routing->isStale(Now))
    return "a newer configuration is missing here";
  if (!this->hearsPeers(Now))
    return "no peer is heard";
  const bool IsDeputy = this->Rank < this->ReaderCount + this->DeputyCount;
  const Duration Age = IsDeputy ? this->DeputyAge : this->MaxAge;
  if (Now > this->ConfirmedAt + Age)
    return "nobody is known to read it";
  return {};
}

std::size_t StoreReadersPlugin::ownRank() const {
  const auto MakeCandidate = [](const HostId &Host, const ZoneId &Zone) {
    return Candidate{&Host, &Zone, rendezvousWeight("store", Host.Value), 0};
  };
  std::vector<Candidate> Hosts{
      MakeCandidate(this->Members->self(), this->Members->selfZone())};
  for (const Member &Peer : this->Members->peers())
    if (Peer.State == MemberState::Alive)
      Hosts.push_back(MakeCandidate(Peer.Listing.Id, Peer.Listing.Zone));
  sortBySelectionOrder(Hosts);
  const auto Self = std::ranges::find_if(Hosts, [&](const Candidate &Entry) {
    return *Entry.Host == this->Members->self();
  });
  return static_cast<std::size_t>(Self - Hosts.begin());
}

bool StoreReadersPlugin::hearsPeers(Time Now) const {
  return std::ranges::any_of(this->Members->peers(), [&](const Member &Peer) {
    return Peer.State == MemberState::Alive &&
           Now < Peer.LastHeard + this->MaxSilence;
  });
}

std::vector<SettingDeclaration> StoreReadersPlugin::settings() {
  constexpr auto Span = SettingKind::Span;
  const std::string Section = "store_readers";
  return {
      {Section, "hosts", SettingKind::Whole, "4",
       "How many hosts follow the store; the others hear from them. One in "
       "each of three data centres, and one more.",
       1, 10000},
      {Section, "look_interval", Span, "200ms",
       "How often a host looks whether it should read the store itself.", 10e3,
       60e6},
      {Section, "deputies", SettingKind::Whole, "8",
       "How many more hosts, the next in order, read the store as soon as it "
       "seems that no reader gets through.",
       0, 10000},
      {Section, "deputy_age", Span, "2s",
       "A deputy that knows of nobody who read the store for so long reads it "
       "itself; longer than the news of a reading takes among hundreds.",
       100e3, 600e6},
      {Section, "most_age", Span, "4s",
       "A host that knows of nobody who read the store for so long reads it "
       "itself; twice what a reader waits for a change.",
       100e3, 600e6},
      {Section, "most_silence", Span, "1s",
       "So does a host that heard no peer for so long: four heartbeats.", 10e3,
       600e6},
  };
}

namespace {

const PluginRegistration
    Registration({"store_readers",
                  {"membership"},
                  StoreReadersPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<StoreReadersPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
