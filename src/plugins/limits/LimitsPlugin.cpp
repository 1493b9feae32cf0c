#include "plugins/limits/LimitsPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace banyanpick {

namespace {

constexpr std::string_view Section = "limits";
/// How long a team stays active after its last request.
constexpr Duration ActiveAfterRequest = seconds(60);
constexpr Duration TransferRepeatInterval = seconds(5);
/// Demand is reported again after this relative change, or after
/// MaxReportInterval.
constexpr double ReportedChange = 0.2;
constexpr Duration MaxReportInterval = seconds(20);
constexpr Duration PruneInterval = seconds(60);
constexpr Duration MaxRetryAfter = seconds(60);

bool isLimited(const TeamEntry &Limits) {
  return Limits.RequestsPerMinute > 0 || Limits.TokensPerMinute > 0 ||
         Limits.Concurrent > 0;
}

double requestTokens(const Request &Req) {
  return static_cast<double>(Req.Head.PromptTokens + Req.OutputTokens);
}

/// Returns the charged tokens that the request did not use.
double unusedTokens(const Request &Req, const FinalAnswer &Answer,
                    double Charged) {
  const auto MaxTokens = static_cast<double>(Req.OutputTokens);
  return match(
      Answer,
      [&](const CompleteAnswer &Complete) {
        return std::max(0.0, MaxTokens - static_cast<double>(Complete.Count));
      },
      [&](const NotRun &) { return Charged; },
      [](const auto &) { return 0.0; });
}

} // namespace

void LimitsPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Policy.Interval = Values.span(Section, "interval");
  this->Policy.Epoch = Values.span(Section, "epoch");
  this->Policy.Burst = Values.span(Section, "burst");
  this->Policy.ItemsPerInterval = Values.whole(Section, "items");
  this->Self = Context.self();
  this->CatalogueInForce = &Context.services().get<CatalogueView>();
  this->Members = &Context.services().get<MembershipView>();
  this->Rng = &Context.random();
  Context.services().list<AdmissionGate>().add(*this);
  Context.services().list<RequestObserver>().add(*this);
  Context.services().list<MembershipObserver>().add(*this);
}

void LimitsPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  if (const auto *Received = std::get_if<PeerMessageReceived>(&Incoming))
    this->handlePeerMessage(Received->Message, Now);
  if (Now >= this->nextWake())
    this->reportToPeers(Now, Out);
  this->prune(Now);
}

Time LimitsPlugin::nextWake() const {
  const Time Next = this->ReportedAt + this->Policy.Interval;
  return Next <= this->ActiveUntil ? Next : Never;
}

void LimitsPlugin::checkInvariants(InvariantMonitor &Monitor, Time Now) const {
  for (const auto &[Team, State] : this->Teams) {
    Monitor.require(State.Limit->isConsistent(),
                    "a limit's share is what it had plus received minus sent "
                    "units");
    Monitor.require(State.Limit->fraction(Now) <= 1,
                    "a host holds at most the whole limit");
  }
}

std::optional<NotRun> LimitsPlugin::check(const Request &Req, Time Now) {
  TeamState *State = this->state(Req.Team, Now);
  if (!State)
    return std::nullopt;
  State->ActiveUntil = Now + ActiveAfterRequest;
  this->ActiveUntil = std::max(this->ActiveUntil, State->ActiveUntil);
  const auto Reached = State->Limit->check(requestTokens(Req), Now);
  if (!Reached)
    return std::nullopt;
  return this->refusal(*State, *Reached, Now);
}

NotRun LimitsPlugin::refusal(TeamState &State, const LimitReached &Reached,
                             Time Now) {
  // Each refused caller gets a later retry time, at the rate of the limit.
  const TeamEntry &Limits = State.Declared;
  const double PerSecond = std::max({1.0, Limits.RequestsPerMinute / 60.0,
                                     static_cast<double>(Limits.Concurrent)});
  const Time Earliest = std::max(Now + Reached.Wait, State.NextRetryAt);
  State.NextRetryAt = std::min(Earliest + fromSeconds(1 / PerSecond),
                               Now + Reached.Wait + MaxRetryAfter);
  const Duration Spread =
      fromSeconds(inSeconds(this->Policy.Interval) * this->Rng->fraction());
  return {RefusalReason::OverLimit, Earliest - Now + Spread,
          fmt::format("the team's limit of {} is used up; come back after the "
                      "time given, resolve again, or ask an operator for a "
                      "higher limit",
                      Reached.LimitName)};
}

void LimitsPlugin::admitted(const Request &Req, Time Now, Actions &) {
  TeamState *State = this->state(Req.Team, Now);
  if (!State)
    return;
  const double Tokens = requestTokens(Req);
  State->Limit->admitted(Tokens, Now);
  this->Running[Req.id()] = {Req.Team, Tokens};
}

void LimitsPlugin::ended(const Request &Req, const FinalAnswer &Answer,
                         Time Now, Actions &) {
  const auto Found = this->Running.find(Req.id());
  if (Found == this->Running.end())
    return;
  const RunningRequest Ended = Found->second;
  this->Running.erase(Found);
  const auto State = this->Teams.find(Ended.Team);
  if (State == this->Teams.end())
    return;
  const bool HasRun = !std::holds_alternative<NotRun>(Answer);
  State->second.Limit->ended(unusedTokens(Req, Answer, Ended.Tokens), HasRun,
                             Now);
}

void LimitsPlugin::memberChanged(const Member &, Time, Actions &) {
  this->AreHostsStale = true;
}

void LimitsPlugin::refreshHosts(Time Now) {
  this->AreHostsStale = false;
  const auto NewHosts = shareHosts(*this->Members);
  if (NewHosts == this->Hosts)
    return;
  for (const ShareHost &OldHost : this->Hosts) {
    const HostId &Host = OldHost.Candidate.Host;
    const auto NewHost = std::find_if(
        NewHosts.begin(), NewHosts.end(),
        [&](const ShareHost &Item) { return Item.Candidate.Host == Host; });
    const bool HasEnded =
        NewHost == NewHosts.end() || NewHost->Life != OldHost.Life;
    const bool IsUnavailable = HasEnded || NewHost->IsDead;
    for (auto &[Team, State] : this->Teams) {
      if (IsUnavailable)
        State.Limit->forgetDemand(Host);
      if (HasEnded)
        State.Limit->reclaimShareOf(Host);
    }
  }
  this->Hosts = NewHosts;
  ++this->HostsVersion;
  this->HostsChangedAt = Now;
}

const ShareHost *LimitsPlugin::find(const HostId &Host) const {
  const auto Found = std::find_if(
      this->Hosts.begin(), this->Hosts.end(),
      [&](const ShareHost &Item) { return Item.Candidate.Host == Host; });
  return Found == this->Hosts.end() ? nullptr : &*Found;
}

double LimitsPlugin::fraction(const TeamId &Team, Time Now) {
  TeamState *State = this->state(Team, Now);
  return State ? State->Limit->fraction(Now) : 1;
}

LimitsPlugin::TeamState *LimitsPlugin::state(const TeamId &Team, Time Now) {
  const TeamEntry *Declared = this->CatalogueInForce->catalogue().team(Team);
  if (!Declared || !isLimited(*Declared))
    return nullptr;
  if (this->AreHostsStale)
    this->refreshHosts(Now);
  TeamState &State = this->Teams[Team];
  const bool IsUpToDate = State.Limit &&
                          State.SplitHostsVersion == this->HostsVersion &&
                          State.Declared == *Declared;
  if (IsUpToDate)
    return &State;
  ShareView Split = shareView(Team, *Declared, this->Hosts);
  if (!State.Limit) {
    State.Limit = std::make_unique<TeamLimit>(*Declared, std::move(Split),
                                              this->Self, this->Policy, Now);
  } else {
    const bool IsOtherEntry = State.Declared != *Declared;
    State.Limit->changeSplit(*Declared, std::move(Split),
                             IsOtherEntry ? Now : this->HostsChangedAt, Now);
  }
  State.Declared = *Declared;
  State.SplitHostsVersion = this->HostsVersion;
  return &State;
}

void LimitsPlugin::handlePeerMessage(const PeerMessage &Message, Time Now) {
  const auto MarkActive = [&](TeamState &State) {
    State.ActiveUntil = std::max(State.ActiveUntil, Now + ActiveAfterRequest);
    this->ActiveUntil = std::max(this->ActiveUntil, State.ActiveUntil);
  };
  if (this->AreHostsStale)
    this->refreshHosts(Now);
  // Messages from an ended incarnation or a dead host are ignored.
  const ShareHost *From = this->find(Message.From);
  if (!From || From->IsDead || From->Life != Message.FromLife)
    return;
  if (const auto *Usage = std::get_if<TeamUsage>(&Message.Body)) {
    for (const TeamUsage::Item &Item : Usage->Items) {
      TeamState *State =
          Item.QueueHash == 0 ? this->state(Item.Team, Now) : nullptr;
      if (!State)
        continue;
      State->Limit->updatePeerDemand(Message.From, Item, Now);
      MarkActive(*State);
    }
  }
  if (const auto *Share = std::get_if<LimitShare>(&Message.Body)) {
    TeamState *State = this->state(Share->Team, Now);
    if (!State)
      return;
    State->Limit->receiveShare(Message.From, *Share, Now);
    MarkActive(*State);
  }
}

void LimitsPlugin::reportToPeers(Time Now, Actions &Out) {
  this->ReportedAt = Now;
  ++this->Round;
  // Membership does not report the removal of a host as a change.
  this->refreshHosts(Now);
  std::map<HostId, TeamUsage> Usage;
  std::uint64_t Reported = 0;
  auto It = this->Teams.upper_bound(this->Cursor);
  for (std::size_t Visited = 0; Visited < this->Teams.size(); ++Visited) {
    if (Reported >= this->Policy.ItemsPerInterval)
      break;
    if (It == this->Teams.end())
      It = this->Teams.begin();
    this->Cursor = It->first;
    if (It->second.ActiveUntil >= Now && this->state(It->first, Now))
      Reported += this->reportTeam(It->first, It->second, Now, Usage, Out);
    ++It;
  }
  for (auto &[To, Message] : Usage) {
    Message.Epoch = this->Round;
    Out.add(SendToPeer{To, std::move(Message)});
  }
  Out.add(RecordMeasurement{RecordMeasurement::Kind::Count, "limit_items_sent",
                            "", static_cast<double>(Reported)});
}

std::uint64_t LimitsPlugin::reportTeam(const TeamId &Team, TeamState &State,
                                       Time Now,
                                       std::map<HostId, TeamUsage> &Usage,
                                       Actions &Out) {
  const std::uint64_t Reported = this->sendUsage(Team, State, Now, Usage);
  std::vector<ShareTransfer> Transfers = State.Limit->transferByDemand(Now);
  for (const ShareTransfer &Transfer : Transfers)
    Out.log(logEvent(events::LimitShareGiven)
                .with("team", Team.Value)
                .with("to", Transfer.To.Value)
                .with("units_in_all", Transfer.CumulativeUnits)
                .with("of", State.Limit->view().Units)
                .build());
  if (Transfers.empty() && Now >= State.RepeatAt) {
    Transfers = State.Limit->transfers();
    State.RepeatAt = Now + TransferRepeatInterval;
  }
  return Reported + this->sendTransfers(Team, State, Transfers, Now, Out);
}

std::uint64_t LimitsPlugin::sendUsage(const TeamId &Team, TeamState &State,
                                      Time Now,
                                      std::map<HostId, TeamUsage> &Usage) {
  const double DemandFraction = State.Limit->ownDemandFraction(Now);
  const bool IsChanged = std::abs(DemandFraction - State.ReportedDemand) >
                             State.ReportedDemand * ReportedChange ||
                         Now - State.ReportedAt >= MaxReportInterval;
  if (!IsChanged)
    return 0;
  State.ReportedDemand = DemandFraction;
  State.ReportedAt = Now;
  TeamUsage::Item Item = State.Limit->usage(Now);
  Item.Team = Team;
  std::vector<HostId> Recipients = State.Limit->hostsWithoutBaseShare(Now);
  for (const BaseShare &Share : State.Limit->view().Shares)
    Recipients.push_back(Share.Host);
  std::erase(Recipients, this->Self.Host);
  for (const HostId &Recipient : Recipients)
    Usage[Recipient].Items.push_back(Item);
  return Recipients.size();
}

std::uint64_t
LimitsPlugin::sendTransfers(const TeamId &Team, const TeamState &State,
                            std::span<const ShareTransfer> Transfers, Time Now,
                            Actions &Out) {
  const ShareView &View = State.Limit->view();
  std::uint64_t Sent = 0;
  for (const ShareTransfer &Transfer : Transfers) {
    const ShareHost *To = this->find(Transfer.To);
    if (!To)
      continue;
    const double Fraction = static_cast<double>(Transfer.CumulativeUnits) /
                            static_cast<double>(View.Units);
    Out.add(SendToPeer{Transfer.To,
                       LimitShare{Team, ++this->TransferCount, Fraction, Now,
                                  View.keyFor(Transfer.To, To->Life)}});
    ++Sent;
  }
  return Sent;
}

void LimitsPlugin::prune(Time Now) {
  if (Now - this->PrunedAt < PruneInterval)
    return;
  this->PrunedAt = Now;
  std::erase_if(this->Teams, [&](const auto &Entry) {
    return Entry.second.ActiveUntil < Now && Entry.second.Limit->isIdle(Now);
  });
}

std::vector<SettingDeclaration> LimitsPlugin::settings() {
  const std::string SectionName(Section);
  return {
      {SectionName, "interval", SettingKind::Span, "1s",
       "How often shares of teams' limits are moved between hosts.", 1e5, 60e6},
      {SectionName, "epoch", SettingKind::Span, "5s",
       "How long after a change among the hosts a larger share of a limit may "
       "be used; longer than hosts take to agree on the change.",
       1e5, 600e6},
      {SectionName, "burst", SettingKind::Span, "10s",
       "A limit a minute may be used ahead by what comes in in this time.", 1e5,
       60e6},
      {SectionName, "items", SettingKind::Whole, "64",
       "How many demands and shares are told to peers in one interval.", 1,
       1e6},
  };
}

namespace {

const PluginRegistration
    Registration({"limits",
                  {"catalogue", "membership"},
                  LimitsPlugin::settings,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<LimitsPlugin>();
                  }});

} // namespace

} // namespace banyanpick
