#include "plugins/fairness/FairnessPlugin.h"

#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"
#include "kernel/ServingHosts.h"

namespace banyanpick {

namespace {

constexpr std::string_view Section = "fairness";
constexpr Duration PruneInterval = seconds(30);

/// Returns the number of chunks that an attempt delivered.
double deliveredChunks(const Attempt &SentAttempt,
                       const AttemptOutcome &Outcome) {
  const auto Since = [&](std::uint64_t Index) {
    return Index > SentAttempt.StartIndex
               ? static_cast<double>(Index - SentAttempt.StartIndex)
               : 0.0;
  };
  return match(
      Outcome, [&](const AttemptComplete &Ended) { return Since(Ended.Count); },
      [&](const AttemptBroken &Ended) { return Since(Ended.NextIndex); },
      [](const auto &) { return 0.0; });
}

/// Returns whether the upstream certainly did no work for the attempt.
bool isNotExecuted(const AttemptOutcome &Outcome) {
  return std::holds_alternative<AttemptRefused>(Outcome) ||
         std::holds_alternative<AttemptNeverSent>(Outcome);
}

} // namespace

void FairnessPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  RequestQueuesPolicy QueuesPolicy;
  QueuesPolicy.DecodeWeight = Values.fraction(Section, "decode_weight");
  QueuesPolicy.AgingFraction = Values.fraction(Section, "aging_fraction");
  this->Queues = std::make_unique<RequestQueues>(QueuesPolicy);
  UsageGossipPolicy GossipPolicy;
  GossipPolicy.Interval = Values.span(Section, "usage_interval");
  GossipPolicy.ItemsPerInterval = Values.whole(Section, "usage_items");
  this->Gossip = std::make_unique<UsageGossip>(GossipPolicy);
  this->CatalogueInForce = &Context.services().get<CatalogueView>();
  this->Members = &Context.services().get<MembershipView>();
  this->Quarantine = &Context.services().get<QuarantineView>();
  Context.services().provide<DispatchQueue>(*this);
  Context.services().list<RequestObserver>().add(*this);
}

void FairnessPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  if (const auto *Received = std::get_if<PeerMessageReceived>(&Incoming)) {
    const auto *Usage = std::get_if<TeamUsage>(&Received->Message.Body);
    if (Usage)
      this->handleUsage(Received->Message, *Usage, Now);
  }
  this->reportToPeers(Now, Out);
  this->prune(Now);
}

Time FairnessPlugin::nextWake() const { return this->Gossip->nextDue(); }

void FairnessPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  Monitor.require(this->Queues->isConsistent(),
                  "a request waits in one lane at most");
  const double Virtual = this->Queues->virtualTime();
  Monitor.require(Virtual >= this->LatestVirtualTime,
                  "virtual time never decreases");
  this->LatestVirtualTime = Virtual;
}

void FairnessPlugin::push(const Request &Req, Time Now) {
  const bool IsSuspect = this->Quarantine->isSuspect(Req, Now);
  const Time NotBefore = Now + this->Quarantine->spacing(Req, Now);
  this->Queues->push(Req, IsSuspect, NotBefore, Now);
}

void FairnessPlugin::remove(const RequestId &Id) { this->Queues->remove(Id); }

std::vector<RequestId> FairnessPlugin::candidates(std::size_t MaxCount,
                                                  Time Now) {
  return this->Queues->candidates(MaxCount, Now);
}

void FairnessPlugin::dispatched(const Request &Req, const Attempt &SentAttempt,
                                Time Now, Actions &) {
  const auto Prefill = static_cast<double>(SentAttempt.UncachedTokens);
  this->Gossip->record(this->Queues->dispatched(Req, Prefill), Now);
}

void FairnessPlugin::attemptEnded(const Request &Req,
                                  const Attempt &SentAttempt,
                                  const AttemptOutcome &Outcome, Time Now,
                                  Actions &) {
  const double Prefill = isNotExecuted(Outcome)
                             ? 0
                             : static_cast<double>(SentAttempt.UncachedTokens);
  this->Gossip->record(
      this->Queues->ended(Req, Prefill, deliveredChunks(SentAttempt, Outcome)),
      Now);
}

void FairnessPlugin::ended(const Request &Req, const FinalAnswer &, Time,
                           Actions &) {
  this->Queues->forget(Req.id());
}

void FairnessPlugin::handleUsage(const PeerMessage &Message,
                                 const TeamUsage &Usage, Time Now) {
  const Catalogue &Entries = this->CatalogueInForce->catalogue();
  for (const QueueWork &Work :
       this->Gossip->received(Message.From, Message.FromLife, Usage, Now)) {
    if (const TeamEntry *Team = Entries.team(Work.Team))
      this->Queues->chargeRemote(Work, Team->Weight);
  }
}

void FairnessPlugin::reportToPeers(Time Now, Actions &Out) {
  if (Now < this->Gossip->nextDue())
    return;
  const ServingHosts Serving(this->CatalogueInForce->catalogue(),
                             *this->Members);
  const auto PeersOf = [&](const TeamId &Team) {
    return Serving.peersOf(Team);
  };
  for (UsageForPeer &Message : this->Gossip->due(PeersOf, Now)) {
    Out.add(RecordMeasurement{RecordMeasurement::Kind::Count,
                              "usage_items_sent", "",
                              static_cast<double>(Message.Usage.Items.size())});
    Out.add(SendToPeer{Message.To, std::move(Message.Usage)});
  }
}

void FairnessPlugin::prune(Time Now) {
  if (Now - this->PrunedAt < PruneInterval)
    return;
  this->PrunedAt = Now;
  this->Queues->prune(Now);
  this->Gossip->prune(Now);
}

std::vector<SettingDeclaration> FairnessPlugin::settings() {
  const std::string SectionName(Section);
  return {
      {SectionName, "decode_weight", SettingKind::Fraction, "4",
       "Work of one output token, in prompt tokens.", 0, 1000},
      {SectionName, "aging_fraction", SettingKind::Fraction, "0.5",
       "Part of the promised time to the first token after which waiting work "
       "goes before all urgencies.",
       0, 1},
      {SectionName, "usage_interval", SettingKind::Span, "1s",
       "How often peers are told of the work done for teams.", 1e5, 60e6},
      {SectionName, "usage_items", SettingKind::Whole, "32",
       "How many totals, over all peers together, are told in one interval.", 1,
       1e6},
  };
}

namespace {

const PluginRegistration
    Registration({"fairness",
                  {"catalogue", "membership", "quarantine"},
                  FairnessPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<FairnessPlugin>();
                  }});

} // namespace

} // namespace banyanpick
