#include "plugins/engines/EnginesPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>

namespace banyanpick {

namespace {

/// An answer to a question for changes takes a few milliseconds; several peers
/// that tell of the same change are not all asked.
constexpr milliseconds LeastAskPause(50);

} // namespace

void EnginesPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  const std::string_view In = "engines";
  this->Offered = &Context.services();
  this->Members = &Context.services().get<MembershipView>();
  this->Table = EngineTable(
      {Values.span(In, "missing_for"), Values.span(In, "keep_removed")});
  this->LookInterval = Values.span(In, "peer_look_interval");
  this->DoubtFor = Values.span(In, "doubt_for");
  this->DoubtAge = Values.span(In, "doubt_age");
  this->Store = &Context.services().get<StoreFreshness>();
  Context.services().provide<EngineDirectory>(*this);
  Context.services().provide<RegistryProgress>(*this);
}

void EnginesPlugin::start(Time Now, Actions &) { this->NextLook = Now; }

void EnginesPlugin::handle(const Event &What, Time Now, Actions &Out) {
  match(
      What,
      [&](const GatewayEvent &Is) {
        if (const auto *Read = std::get_if<EnginesRead>(&Is))
          this->take(*Read, Now, Out);
        if (const auto *Seen = std::get_if<StoreObserved>(&Is))
          this->note(*Seen, Now, Out);
        if (const auto *Reported = std::get_if<EngineReported>(&Is))
          this->noteIncarnation(Reported->Report.Engine, Now, Out);
      },
      [&](const PeerMessageReceived &Is) {
        this->takePeerMessage(Is.Message, Now, Out);
      },
      [](const auto &) {});
  for (const UpstreamId &Gone : this->Table.expire(Now))
    this->tellGone(Gone, "silence", Now, Out);
  const Time Confirmed = this->Store->storeConfirmedAt();
  if (Confirmed != Time{} && Now > Confirmed + this->DoubtAge)
    this->LastFailed = Now;
  if (Now >= this->NextLook)
    this->look(Now, Out);
}

Time EnginesPlugin::nextWake() const {
  return std::min(this->NextLook, this->Table.nextExpiry());
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

void EnginesPlugin::note(const StoreObserved &Seen, Time Now, Actions &Out) {
  if (Seen.Source != StoreObserved::Part::Engines)
    return;
  if (!Seen.Reachable)
    this->LastFailed = Now;
  if (Seen.Reachable == this->Reachable)
    return;
  this->Reachable = Seen.Reachable;
  Out.log(logEvent(Seen.Reachable ? events::StoreReachable
                                  : events::StoreUnreachable)
              .with("for", "engines")
              .with("why", Seen.Why)
              .with("known_to", this->KnownTo)
              .build());
}

void EnginesPlugin::takePeerMessage(const PeerMessage &Message, Time Now,
                                    Actions &Out) {
  match(
      Message.Body,
      [&](const EnginesRequest &Asked) {
        if (this->KnownTo > Asked.From)
          Out.add(SendToPeer{Message.From, this->changesFrom(Asked.From)});
      },
      [&](const EnginesRelayed &Relayed) {
        this->takeRelayed(Relayed, Message.From, Now, Out);
      },
      [&](const Heartbeat &Beat) {
        // Most hosts hear of changes in this way only.
        if (!this->isFurther(Beat.EnginesKnownTo, Beat.EnginesDigest) ||
            Now < this->AskedAt + LeastAskPause)
          return;
        this->AskedAt = Now;
        Out.add(SendToPeer{Message.From, EnginesRequest{this->KnownTo}});
      },
      [](const auto &) {});
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

EnginesRelayed EnginesPlugin::changesFrom(LogOffset From) const {
  EnginesRelayed Result;
  Result.UpTo = this->KnownTo;
  // Who never heard of a removal can't pass it on.
  Result.Complete = From < std::max(this->ListedAt, this->Table.forgottenTo());
  Result.Changes = this->Table.changesFrom(Result.Complete ? 0 : From);
  return Result;
}

void EnginesPlugin::apply(std::span<const EngineChange> Changes,
                          std::string_view From, Time Now, Actions &Out) {
  const bool Doubtful = this->isDoubtful(Now);
  for (const EngineChange &Each : Changes) {
    const EngineTable::Applied Done = this->Table.apply(Each, Doubtful, Now);
    if (Done.Restarted)
      this->tellReborn(*Done.Ended, From, Now, Out);
    else if (Done.Ended)
      this->tellGone(*Done.Ended, From, Now, Out);
    if (Done.Is == EngineTable::Effect::Changed)
      this->tell(Each.Engine.Id, From, Now, Out);
  }
}

void EnginesPlugin::addressTaken(const UpstreamId &Id, Time Now, Actions &Out) {
  if (this->Table.setLeaving(Id, Now))
    this->tell(Id, "refusal", Now, Out);
}

void EnginesPlugin::noteLeaving(const UpstreamId &Id, std::string_view From,
                                Time Now, Actions &Out) {
  if (this->Table.noteLeaving(Id, Now))
    this->tell(Id, From, Now, Out);
}

void EnginesPlugin::tell(const UpstreamId &Id, std::string_view From, Time Now,
                         Actions &Out) {
  const RegisteredEngine *Changed = this->Table.find(Id);
  if (!Changed)
    return;
  Out.log(logEvent(events::EngineChanged)
              .with("engine", Id.Value)
              .with("service", Changed->Record.Service.Value)
              .with("standing", name(Changed->Standing))
              .with("from", From)
              .with("offset", Changed->Offset)
              .build());
  for (EngineObserver *Each : this->Offered->list<EngineObserver>().all())
    Each->engineChanged(*Changed, Now, Out);
}

void EnginesPlugin::tellGone(const UpstreamId &Id, std::string_view From,
                             Time Now, Actions &Out) {
  Out.log(logEvent(events::EngineChanged)
              .with("engine", Id.Value)
              .with("standing", "gone")
              .with("from", From)
              .with("offset", this->KnownTo)
              .build());
  for (EngineObserver *Each : this->Offered->list<EngineObserver>().all())
    Each->engineRemoved(Id, Now, Out);
}

void EnginesPlugin::noteIncarnation(const UpstreamId &Life, Time Now,
                                    Actions &Out) {
  if (const auto Ended = this->Table.noteIncarnation(Life, Now))
    this->tellReborn(*Ended, "report", Now, Out);
}

void EnginesPlugin::tellReborn(const UpstreamId &Ended, std::string_view From,
                               Time Now, Actions &Out) {
  for (EngineObserver *Each : this->Offered->list<EngineObserver>().all())
    Each->engineRestarted(Ended, Now, Out);
  this->tellGone(Ended, From, Now, Out);
}

bool EnginesPlugin::isFurther(LogOffset PeerKnowsTo, std::uint64_t Digest) {
  if (PeerKnowsTo <= this->KnownTo)
    return false;
  if (Digest != this->Table.digest())
    return true;
  this->KnownTo = PeerKnowsTo;
  return false;
}

void EnginesPlugin::look(Time Now, Actions &Out) {
  this->NextLook = Now + this->LookInterval;
  // Even a host that reads the store asks: its read may hang on a connection
  // that went silent.
  const Member *Best = nullptr;
  for (const Member &Each : this->Members->peers())
    if (Each.State != MemberState::Dead &&
        this->isFurther(Each.EnginesKnownTo, Each.EnginesDigest) &&
        (!Best || Each.EnginesKnownTo > Best->EnginesKnownTo))
      Best = &Each;
  if (Best)
    Out.add(SendToPeer{Best->Listing.Id, EnginesRequest{this->KnownTo}});
}

bool EnginesPlugin::isDoubtful(Time Now) const {
  return this->LastFailed != Time{} && Now < this->LastFailed + this->DoubtFor;
}

std::vector<SettingDeclaration> EnginesPlugin::settings() {
  constexpr auto Span = SettingKind::Span;
  const std::string In = "engines";
  return {
      {In, "missing_for", Span, "2s",
       "How long an upstream whose registration vanished beside an outage of "
       "the store may still be used; the registry's operators say within how "
       "long it is back.",
       0, 60e6},
      {In, "doubt_for", Span, "4s",
       "How long after an outage of the store a vanished registration may be "
       "one that could not be renewed: the outage's end and one renewal.",
       0, 60e6},
      {In, "keep_removed", Span, "1min",
       "How long peers are told of upstreams that are gone.", 1e6, 3600e6},
      {In, "peer_look_interval", Span, "400ms",
       "How often a host that the store does not answer asks a peer.", 50e3,
       10e6},
      {In, "doubt_age", Span, "6s",
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
