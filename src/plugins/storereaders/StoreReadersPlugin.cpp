#include "plugins/storereaders/StoreReadersPlugin.h"

#include "base/EventNumbers.h"
#include "base/RendezvousHash.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace banyanpick {

namespace {

/// The reason to read of the hosts that are elected for it.
constexpr std::string_view Chosen = "chosen";

/// While no host reads the store, the number of those that try doubles in this
/// time. If all began at once, an outage of the store would cost calls that
/// grow with the hosts.
constexpr milliseconds DoublingTime(500);

/// Until the first answer of the store to a host that begins to read it: the
/// connection and the list of all records.
constexpr milliseconds FirstReadTime(300);

/// Until a change that one host has read is in force at the others: a heartbeat
/// interval and its way.
constexpr milliseconds PropagationTime(300);

/// Readers renew their news at least so often, so a younger one says nothing.
constexpr milliseconds MinDeputyAge(900);

/// Among more hosts the news of a reading may take longer than the bound on
/// changes allows, so that deputies would read without need.
constexpr std::size_t MaxQuickNewsHosts = 100;

/// A host that may read the store, with its rank.
struct Candidate {
  const HostId *Host = nullptr;
  const ZoneId *Zone = nullptr;
  std::uint32_t Processor = 0; ///< In thousandths of a core.
  std::uint64_t Weight = 0;
  std::size_t ZoneRank = 0; ///< Rank within its data centre.
};

/// Sorts the hosts into the selection order: the first of each data centre,
/// then the second of each, so that no network partition separates all readers.
/// In each data centre the hosts with the most processor come first.
void sortBySelectionOrder(std::vector<Candidate> &Hosts) {
  std::ranges::sort(Hosts, [](const Candidate &First, const Candidate &Second) {
    return std::tie(*First.Zone, Second.Processor, First.Weight, *First.Host) <
           std::tie(*Second.Zone, First.Processor, Second.Weight, *Second.Host);
  });
  for (std::size_t Index = 1; Index < Hosts.size(); ++Index)
    if (*Hosts[Index].Zone == *Hosts[Index - 1].Zone)
      Hosts[Index].ZoneRank = Hosts[Index - 1].ZoneRank + 1;
  std::ranges::sort(Hosts, [](const Candidate &First, const Candidate &Second) {
    return std::tie(First.ZoneRank, Second.Processor, First.Weight,
                    *First.Host) < std::tie(Second.ZoneRank, First.Processor,
                                            Second.Weight, *Second.Host);
  });
}

} // namespace

void StoreReadersPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view Section = "store_readers";
  this->Registry = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->Self = Context.self();
  this->ReaderCount = Values.whole(Section, "hosts");
  this->CheckInterval = Values.span(Section, "look_interval");
  this->DeputyCount = Values.whole(Section, "deputies");
  this->DeputyAge = Values.span(Section, "deputy_age");
  this->QuickDeputyAge =
      std::min(this->DeputyAge,
               this->latestTakeover(Values.span(Section, "change_bound")));
  this->MaxAge = Values.span(Section, "most_age");
  this->MaxSilence = Values.span(Section, "most_silence");
  this->SettleTime = Values.span(Section, "settle_time");
  Context.services().provide<StoreFreshness>(*this);
  Context.services().list<MembershipObserver>().add(*this);
}

void StoreReadersPlugin::start(Time Now, Actions &Out) {
  this->Routing = this->Registry->find<RouteView>();
  this->StartedAt = Now;
  this->updateRole(Now, Out);
}

void StoreReadersPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  match(
      Incoming,
      [&](const GatewayEvent &Gateway) {
        if (std::holds_alternative<EnginesRead>(Gateway))
          this->ConfirmedAt = Now;
        if (std::holds_alternative<RelayArrived>(Gateway))
          this->noteRequest(Now);
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
  this->updateListing(Now, Out);
  const std::uint32_t Readers = this->readersByTurns(Reason);
  if (Reason.empty() != this->IsReader && Readers == this->Turns)
    return;
  this->IsReader = !Reason.empty();
  this->Turns = Readers;
  Out.log(logEvent(this->IsReader ? events::StoreFollowed : events::StoreLeft)
              .with("why", this->IsReader ? Reason : "others read it")
              .with("turns", this->Turns)
              .with("confirmed_us_ago", this->ConfirmedAt == Time{}
                                            ? -1
                                            : (Now - this->ConfirmedAt).count())
              .with("hosts", this->Members->peers().size() + 1)
              .build());
  Out.count("store_reading_changed", this->IsReader ? "on" : "off");
  Out.add(GatewayAction(FollowStore{this->IsReader, this->Turns}));
}

std::uint32_t
StoreReadersPlugin::readersByTurns(std::string_view Reason) const {
  if (Reason != Chosen)
    return 1;
  const auto Alive = static_cast<std::size_t>(std::ranges::count(
      this->Members->peers(), MemberState::Alive, &Member::State));
  return static_cast<std::uint32_t>(std::min(this->ReaderCount, Alive + 1));
}

std::string_view StoreReadersPlugin::readingReason(Time Now) {
  if (std::exchange(this->MembersChanged, false)) {
    this->Rank = this->ownRank();
    this->noteHosts(this->Members->peers().size() + 1, Now);
  }
  const bool IsSettled = this->isSettled(Now);
  if (IsSettled && this->Rank < this->ReaderCount)
    return Chosen;
  if (this->CallersWait && !this->Routing->routes())
    return "callers wait for the configuration";
  // Peers have the version but their documents don't get here.
  if (this->Routing && this->Routing->isStale(Now))
    return "a newer configuration is missing here";
  if (Now >= this->StartedAt + this->MaxSilence && !this->hearsPeers(Now))
    return "no peer is heard";
  if (Now > std::max(this->ConfirmedAt, this->StartedAt) + this->ownMaxAge(Now))
    return "nobody is known to read it";
  return {};
}

Duration StoreReadersPlugin::ownMaxAge(Time Now) const {
  if (!this->isSettled(Now))
    return this->MaxAge;
  const std::size_t Before = this->ReaderCount + this->DeputyCount;
  if (this->Rank < Before)
    return this->hasQuickNews(Now) ? this->QuickDeputyAge : this->DeputyAge;
  const double Doublings = std::log2(static_cast<double>(this->Rank + 1) /
                                     static_cast<double>(Before));
  return this->MaxAge + fromSeconds(inSeconds(DoublingTime) * Doublings);
}

bool StoreReadersPlugin::hasQuickNews(Time Now) const {
  return this->Members->peers().size() < MaxQuickNewsHosts &&
         Now >= std::max(this->StartedAt, this->GrewAt) + 2 * this->SettleTime;
}

Duration StoreReadersPlugin::latestTakeover(Duration ChangeBound) const {
  const Duration Needed = this->CheckInterval + FirstReadTime + PropagationTime;
  return std::max<Duration>(ChangeBound - Needed, MinDeputyAge);
}

bool StoreReadersPlugin::isSettled(Time Now) const {
  return this->Members->isSeed() ||
         Now >= std::max(this->StartedAt, this->GrewAt) + this->SettleTime;
}

void StoreReadersPlugin::noteHosts(std::size_t Hosts, Time Now) {
  // Single hosts that join change no rank by much.
  const std::size_t Few = this->ReaderCount + this->StableHosts / 4;
  if (Hosts <= this->StableHosts + Few)
    return;
  this->StableHosts = Hosts;
  this->GrewAt = Now;
}

void StoreReadersPlugin::noteRequest(Time Now) {
  if (this->CallersWait || !this->Routing || this->Routing->routes())
    return;
  this->CallersWait = true;
  this->NextCheck = Now;
}

void StoreReadersPlugin::updateListing(Time Now, Actions &Out) {
  // A record is not urgent, and hosts whose view of the others still changes
  // would write more of them than needed.
  const bool IsDue =
      !this->IsListed &&
      Now >= std::max(this->StartedAt, this->GrewAt) + 2 * this->SettleTime &&
      this->Rank < this->ReaderCount + this->DeputyCount;
  if (!IsDue)
    return;
  this->IsListed = true;
  Out.add(GatewayAction(AnnounceHost{true}));
}

std::size_t StoreReadersPlugin::ownRank() const {
  const auto MakeCandidate = [](const HostId &Host, const ZoneId &Zone,
                                ProcessorShare Processor) {
    return Candidate{&Host, &Zone, Processor.Thousandths,
                     rendezvousWeight("store", Host.Value), 0};
  };
  std::vector<Candidate> Hosts{
      MakeCandidate(this->Self.Host, this->Self.Zone, this->Self.Processor)};
  for (const Member &Peer : this->Members->peers())
    if (Peer.State == MemberState::Alive)
      Hosts.push_back(MakeCandidate(Peer.Listing.Id, Peer.Listing.Zone,
                                    Peer.Listing.Processor));
  sortBySelectionOrder(Hosts);
  const auto Self = std::ranges::find_if(Hosts, [&](const Candidate &Entry) {
    return *Entry.Host == this->Self.Host;
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
      {Section, "change_bound", Span, "2s",
       "Within so long a change that the store has accepted must be in force "
       "at all hosts, also where the store refuses its readers.",
       100e3, 600e6},
      {Section, "deputy_age", Span, "2s",
       "A deputy that knows of nobody who read the store for so long reads it "
       "itself; sooner if change_bound leaves less time.",
       100e3, 600e6},
      {Section, "most_age", Span, "4s",
       "A host that knows of nobody who read the store for so long reads it "
       "itself; twice what a reader waits for a change.",
       100e3, 600e6},
      {Section, "most_silence", Span, "1s",
       "So does a host that heard no peer for so long: four heartbeats.", 10e3,
       600e6},
      {Section, "settle_time", Span, "1500ms",
       "How long after its start a host that has seeds knows too few others to "
       "be chosen as a reader or for the host list.",
       0, 600e6},
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
