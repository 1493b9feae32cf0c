#include "plugins/storereaders/StoreReadersPlugin.h"

#include "base/EventNumbers.h"
#include "base/RendezvousHash.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>
#include <utility>

namespace banyanpick {

namespace {

/// A host's place among those that read the store.
struct Candidate {
  const HostId *Host = nullptr;
  const ZoneId *Zone = nullptr;
  std::uint64_t Weight = 0;
  std::size_t InZone = 0; ///< Place among those of its data centre.
};

/// All hosts in the order in which they are chosen: the first of each data
/// centre, then the second of each, so that no cut takes all readers.
void sortByChoice(std::vector<Candidate> &Hosts) {
  std::ranges::sort(Hosts, {}, [](const Candidate &Each) {
    return std::tuple(*Each.Zone, Each.Weight, *Each.Host);
  });
  for (std::size_t At = 1; At < Hosts.size(); ++At)
    if (*Hosts[At].Zone == *Hosts[At - 1].Zone)
      Hosts[At].InZone = Hosts[At - 1].InZone + 1;
  std::ranges::sort(Hosts, {}, [](const Candidate &Each) {
    return std::tuple(Each.InZone, Each.Weight, *Each.Host);
  });
}

} // namespace

void StoreReadersPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view In = "store_readers";
  this->Members = &Context.services().get<MembershipView>();
  this->Readers = Values.whole(In, "hosts");
  this->LookInterval = Values.span(In, "look_interval");
  this->Deputies = Values.whole(In, "deputies");
  this->DeputyAge = Values.span(In, "deputy_age");
  this->MostAge = Values.span(In, "most_age");
  this->MaxSilence = Values.span(In, "most_silence");
  Context.services().provide<StoreFreshness>(*this);
  Context.services().list<MembershipObserver>().add(*this);
}

void StoreReadersPlugin::start(Time Now, Actions &) {
  this->NextLook = Now + this->LookInterval;
}

void StoreReadersPlugin::handle(const Event &What, Time Now, Actions &Out) {
  match(
      What,
      [&](const GatewayEvent &Is) {
        if (std::holds_alternative<EnginesRead>(Is))
          this->Confirmed = Now;
      },
      [&](const PeerMessageReceived &Is) {
        const auto *Beat = std::get_if<Heartbeat>(&Is.Message.Body);
        if (Beat && Beat->StoreAge != Duration::max())
          this->Confirmed = std::max(this->Confirmed, Now - Beat->StoreAge);
      },
      [](const auto &) {});
  if (Now >= this->NextLook)
    this->look(Now, Out);
}

void StoreReadersPlugin::look(Time Now, Actions &Out) {
  this->NextLook = Now + this->LookInterval;
  const std::string_view Why = this->reason(Now);
  if (Why.empty() != this->Reads)
    return;
  this->Reads = !Why.empty();
  Out.log(logEvent(this->Reads ? events::StoreFollowed : events::StoreLeft)
              .with("why", this->Reads ? Why : "others read it")
              .with("confirmed_us_ago", this->Confirmed == Time{}
                                            ? -1
                                            : (Now - this->Confirmed).count())
              .with("hosts", this->Members->peers().size() + 1)
              .build());
  Out.count("store_reading_changed", this->Reads ? "on" : "off");
  Out.add(GatewayAction(FollowStore{this->Reads}));
}

std::string_view StoreReadersPlugin::reason(Time Now) {
  if (std::exchange(this->MembersChanged, false))
    this->Place = this->ownPlace();
  if (this->Place < this->Readers)
    return "chosen";
  if (!this->hearsPeers(Now))
    return "no peer is heard";
  const bool IsDeputy = this->Place < this->Readers + this->Deputies;
  const Duration Age = IsDeputy ? this->DeputyAge : this->MostAge;
  if (Now > this->Confirmed + Age)
    return "nobody is known to read it";
  return {};
}

std::size_t StoreReadersPlugin::ownPlace() const {
  const auto MakeCandidate = [](const HostId &Host, const ZoneId &Zone) {
    return Candidate{&Host, &Zone, rendezvousWeight("store", Host.Value), 0};
  };
  std::vector<Candidate> Hosts{
      MakeCandidate(this->Members->self(), this->Members->selfZone())};
  for (const Member &Each : this->Members->peers())
    if (Each.State == MemberState::Alive)
      Hosts.push_back(MakeCandidate(Each.Listing.Id, Each.Listing.Zone));
  sortByChoice(Hosts);
  const auto Own = std::ranges::find_if(Hosts, [&](const Candidate &Each) {
    return *Each.Host == this->Members->self();
  });
  return static_cast<std::size_t>(Own - Hosts.begin());
}

bool StoreReadersPlugin::hearsPeers(Time Now) const {
  return std::ranges::any_of(this->Members->peers(), [&](const Member &Each) {
    return Each.State == MemberState::Alive &&
           Now < Each.LastHeard + this->MaxSilence;
  });
}

std::vector<SettingDeclaration> StoreReadersPlugin::settings() {
  constexpr auto Span = SettingKind::Span;
  const std::string In = "store_readers";
  return {
      {In, "hosts", SettingKind::Whole, "4",
       "How many hosts follow the store; the others hear from them. One in "
       "each of three data centres, and one more.",
       1, 10000},
      {In, "look_interval", Span, "200ms",
       "How often a host looks whether it should read the store itself.", 10e3,
       60e6},
      {In, "deputies", SettingKind::Whole, "8",
       "How many more hosts, the next in order, read the store as soon as it "
       "seems that no reader gets through.",
       0, 10000},
      {In, "deputy_age", Span, "2s",
       "A deputy that knows of nobody who read the store for so long reads it "
       "itself; longer than the news of a reading takes among hundreds.",
       100e3, 600e6},
      {In, "most_age", Span, "4s",
       "A host that knows of nobody who read the store for so long reads it "
       "itself; twice what a reader waits for a change.",
       100e3, 600e6},
      {In, "most_silence", Span, "1s",
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
