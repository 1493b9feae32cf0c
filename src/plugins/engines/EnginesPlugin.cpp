#include "plugins/engines/EnginesPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// Minimum interval between two requests for changes. An answer takes a few
/// milliseconds, and peers that announce the same change are not all asked.
constexpr milliseconds MinRequestInterval(50);

/// The same for a host that knows no registrations yet. The answer names all of
/// them, and takes a while over a small link.
constexpr milliseconds FirstRequestInterval(250);

/// A longer answer is sent only at a limited rate. When hundreds of hosts start
/// together, those that get no answer request it from another peer, and the
/// number of hosts that can answer doubles with each round.
constexpr std::size_t MaxShortAnswer = 64;

/// Registrations sent per second in long answers, some 100 bytes each: half of
/// the smallest link.
constexpr double MaxRelayedPerSecond = 12000;

} // namespace

void EnginesPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view Section = "engines";
  this->Registry = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->Table = EngineTable({Values.span(Section, "missing_for"),
                             Values.span(Section, "keep_removed")});
  this->PollInterval = Values.span(Section, "peer_look_interval");
  this->SuspectFor = Values.span(Section, "doubt_for");
  this->SuspectAge = Values.span(Section, "doubt_age");
  this->Store = &Context.services().get<StoreFreshness>();
  Context.services().provide<EngineDirectory>(*this);
  Context.services().provide<RegistryProgress>(*this);
}

void EnginesPlugin::start(Time Now, Actions &) { this->NextPoll = Now; }

void EnginesPlugin::handle(const Event &Received, Time Now, Actions &Out) {
  match(
      Received,
      [&](const GatewayEvent &Change) {
        if (const auto *Read = std::get_if<EnginesRead>(&Change))
          this->take(*Read, Now, Out);
        if (const auto *Status = std::get_if<StoreObserved>(&Change))
          this->noteStore(*Status, Now, Out);
        if (const auto *Reported = std::get_if<EngineReported>(&Change))
          this->noteIncarnation(Reported->Report.Engine, Now, Out);
      },
      [&](const PeerMessageReceived &Incoming) {
        this->takePeerMessage(Incoming.Message, Now, Out);
      },
      [](const auto &) {});
  for (const UpstreamId &Gone : this->Table.expire(Now))
    this->notifyRemoved(Gone, "silence", Now, Out);
  const Time Confirmed = this->Store->storeConfirmedAt();
  if (Confirmed != Time{} && Now > Confirmed + this->SuspectAge)
    this->LastFailed = Now;
  if (Now >= this->NextPoll)
    this->pollPeers(Now, Out);
}

Time EnginesPlugin::nextWake() const {
  return std::min(this->NextPoll, this->Table.nextExpiry());
}

void EnginesPlugin::take(const EnginesRead &Read, Time Now, Actions &Out) {
  this->apply(Read.Changes, "store", Now, Out);
  if (Read.Complete) {
    this->apply(this->Table.missingFrom(Read.Changes, Read.UpTo), "listing",
                Now, Out);
    this->ListedAt = std::max(this->ListedAt, Read.UpTo);
  }
  this->KnownTo = std::max(this->KnownTo, Read.UpTo);
}

void EnginesPlugin::noteStore(const StoreObserved &Status, Time Now,
                              Actions &Out) {
  if (Status.Source != StoreObserved::Part::Engines)
    return;
  if (!Status.Reachable)
    this->LastFailed = Now;
  if (Status.Reachable == this->Reachable)
    return;
  this->Reachable = Status.Reachable;
  Out.log(logEvent(Status.Reachable ? events::StoreReachable
                                    : events::StoreUnreachable)
              .with("for", "engines")
              .with("why", Status.Why)
              .with("known_to", this->KnownTo)
              .build());
}

void EnginesPlugin::takePeerMessage(const PeerMessage &Message, Time Now,
                                    Actions &Out) {
  match(
      Message.Body,
      [&](const EnginesRequest &Requested) {
        this->answer(Message.From, Requested, Now, Out);
      },
      [&](const EnginesRelayed &Relayed) {
        this->takeRelayed(Relayed, Message.From, Now, Out);
      },
      [&](const Heartbeat &Beat) {
        // Most hosts learn of changes only from heartbeats.
        if (this->isAhead(Beat.EnginesKnownTo, Beat.EnginesDigest))
          this->request(Message.From, Now, Out);
      },
      [](const auto &) {});
}

void EnginesPlugin::request(const HostId &From, Time Now, Actions &Out) {
  if (Now < this->NextRequest)
    return;
  const bool IsFirst = this->Table.size() == 0;
  this->NextRequest = Now + (IsFirst ? Duration(FirstRequestInterval)
                                     : Duration(MinRequestInterval));
  Out.add(SendToPeer{From, EnginesRequest{this->KnownTo}});
}

void EnginesPlugin::answer(const HostId &From, const EnginesRequest &Requested,
                           Time Now, Actions &Out) {
  if (this->KnownTo <= Requested.From)
    return;
  EnginesRelayed Answer = this->changesFrom(Requested.From, Now);
  const std::size_t Count = Answer.Changes.size();
  if (Count > MaxShortAnswer) {
    if (Now < this->NextLongAnswer)
      return;
    this->NextLongAnswer =
        Now + fromSeconds(static_cast<double>(Count) / MaxRelayedPerSecond);
  }
  Out.add(SendToPeer{From, std::move(Answer)});
}

void EnginesPlugin::takeRelayed(const EnginesRelayed &Relayed,
                                const HostId &From, Time Now, Actions &Out) {
  if (Relayed.UpTo <= this->KnownTo)
    return;
  this->apply(Relayed.Changes, From.Value, Now, Out);
  if (Relayed.Complete) {
    this->apply(this->Table.missingFrom(Relayed.Changes, Relayed.UpTo),
                From.Value, Now, Out);
    this->ListedAt = std::max(this->ListedAt, Relayed.UpTo);
  }
  this->KnownTo = Relayed.UpTo;
}

EnginesRelayed EnginesPlugin::changesFrom(LogOffset From, Time Now) const {
  EnginesRelayed Result;
  Result.UpTo = this->KnownTo;
  // A host that never received a removal cannot forward it.
  Result.Complete = From < std::max(this->ListedAt, this->Table.forgottenTo());
  Result.Changes = this->Table.changesFrom(Result.Complete ? 0 : From);
  for (EngineChange &Change : Result.Changes) {
    const RegisteredEngine *Known = this->Table.find(Change.Engine.Id);
    if (!Known || Change.Engine.ColdFor == Duration(0))
      continue;
    // The engine stays cold in the digest until a renewal says otherwise, so
    // the relayed record is cold too.
    Change.Engine.ColdFor = std::max(Duration(1), Known->ColdUntil - Now);
  }
  return Result;
}

void EnginesPlugin::apply(std::span<const EngineChange> Changes,
                          std::string_view From, Time Now, Actions &Out) {
  const bool StoreSuspect = this->isStoreSuspect(Now);
  for (const EngineChange &Change : Changes) {
    const RegisteredEngine *Known = this->Table.find(Change.Engine.Id);
    const bool WasWarm =
        Known && (!Known->Record.isCold() || Now >= Known->ColdUntil);
    const EngineTable::Applied Done =
        this->Table.apply(Change, StoreSuspect, Now);
    if (Done.Restarted)
      this->notifyRestarted(*Done.Ended, From, Now, Out);
    else if (Done.Ended)
      this->notifyRemoved(*Done.Ended, From, Now, Out);
    if (Done.Outcome == EngineTable::Effect::Changed)
      this->notifyChanged(Change.Engine.Id, From, Now, Out);
    if (Done.IsCold)
      for (EngineObserver *Observer :
           this->Registry->list<EngineObserver>().all())
        Observer->engineCold(Change.Engine, WasWarm, Now, Out);
  }
}

void EnginesPlugin::addressTaken(const UpstreamId &Id, Time Now, Actions &Out) {
  if (this->Table.setLeaving(Id, Now))
    this->notifyChanged(Id, "refusal", Now, Out);
}

void EnginesPlugin::noteLeaving(const UpstreamId &Id, std::string_view From,
                                Time Now, Actions &Out) {
  if (this->Table.noteLeaving(Id, Now))
    this->notifyChanged(Id, From, Now, Out);
}

void EnginesPlugin::notifyChanged(const UpstreamId &Id, std::string_view From,
                                  Time Now, Actions &Out) {
  const RegisteredEngine *Changed = this->Table.find(Id);
  if (!Changed)
    return;
  this->Losses += Changed->Standing == EngineStanding::Usable ? 0 : 1;
  Out.log(logEvent(events::EngineChanged)
              .with("engine", Id.Value)
              .with("service", Changed->Record.Service.Value)
              .with("standing", name(Changed->Standing))
              .with("from", From)
              .with("offset", Changed->Offset)
              .build());
  for (EngineObserver *Observer : this->Registry->list<EngineObserver>().all())
    Observer->engineChanged(*Changed, Now, Out);
}

void EnginesPlugin::notifyRemoved(const UpstreamId &Id, std::string_view From,
                                  Time Now, Actions &Out) {
  ++this->Losses;
  Out.log(logEvent(events::EngineChanged)
              .with("engine", Id.Value)
              .with("standing", "gone")
              .with("from", From)
              .with("offset", this->KnownTo)
              .build());
  for (EngineObserver *Observer : this->Registry->list<EngineObserver>().all())
    Observer->engineRemoved(Id, Now, Out);
}

void EnginesPlugin::noteIncarnation(const UpstreamId &Incarnation, Time Now,
                                    Actions &Out) {
  if (const auto Ended = this->Table.noteIncarnation(Incarnation, Now))
    this->notifyRestarted(*Ended, "report", Now, Out);
}

void EnginesPlugin::notifyRestarted(const UpstreamId &Ended,
                                    std::string_view From, Time Now,
                                    Actions &Out) {
  for (EngineObserver *Observer : this->Registry->list<EngineObserver>().all())
    Observer->engineRestarted(Ended, Now, Out);
  this->notifyRemoved(Ended, From, Now, Out);
}

bool EnginesPlugin::isAhead(LogOffset PeerKnownTo, std::uint64_t Digest) {
  if (PeerKnownTo <= this->KnownTo)
    return false;
  if (Digest != this->Table.digest())
    return true;
  this->KnownTo = PeerKnownTo;
  return false;
}

void EnginesPlugin::pollPeers(Time Now, Actions &Out) {
  this->NextPoll = Now + this->PollInterval;
  // A host that reads the store also polls peers, because its read may hang on
  // a connection that went silent.
  const Member *Best = nullptr;
  for (const Member &Peer : this->Members->peers())
    if (Peer.State != MemberState::Dead &&
        this->isAhead(Peer.EnginesKnownTo, Peer.EnginesDigest) &&
        (!Best || Peer.EnginesKnownTo > Best->EnginesKnownTo))
      Best = &Peer;
  if (Best)
    this->request(Best->Listing.Id, Now, Out);
}

bool EnginesPlugin::isStoreSuspect(Time Now) const {
  return this->LastFailed != Time{} &&
         Now < this->LastFailed + this->SuspectFor;
}

std::vector<SettingDeclaration> EnginesPlugin::settings() {
  constexpr auto Span = SettingKind::Span;
  const std::string Section = "engines";
  return {
      {Section, "missing_for", Span, "2s",
       "How long an upstream whose registration vanished beside an outage of "
       "the store may still be used; the registry's operators say within how "
       "long it is back.",
       0, 60e6},
      {Section, "doubt_for", Span, "4s",
       "How long after an outage of the store a vanished registration may be "
       "one that could not be renewed: the outage's end and one renewal.",
       0, 60e6},
      {Section, "keep_removed", Span, "1min",
       "How long peers are told of upstreams that are gone.", 1e6, 3600e6},
      {Section, "peer_look_interval", Span, "400ms",
       "How often a host that the store does not answer asks a peer.", 50e3,
       10e6},
      {Section, "doubt_age", Span, "6s",
       "A store that nobody is known to have read for so long counts as out of "
       "reach; longer than readers wait and heartbeats need.",
       100e3, 60e6},
  };
}

namespace {

const PluginRegistration
    Registration({"engines",
                  {"membership", "store_readers"},
                  EnginesPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<EnginesPlugin>();
                  },
                  PluginUse::Gateway});

} // namespace

} // namespace banyanpick
