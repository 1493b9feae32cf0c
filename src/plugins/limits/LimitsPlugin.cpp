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
/// How long a team is looked at after its last request.
constexpr Duration BusyAfterUse = seconds(60);
constexpr Duration RepeatInterval = seconds(5);
/// A demand is told again when it changed by so much, or after so long.
constexpr double NewsFraction = 0.2;
constexpr Duration NewsInterval = seconds(20);
constexpr Duration PruneInterval = seconds(60);
constexpr Duration LongestComeBack = seconds(60);

bool isLimited(const TeamEntry &Limits) {
  return Limits.RequestsPerMinute > 0 || Limits.TokensPerMinute > 0 ||
         Limits.Concurrent > 0;
}

double tokensOf(const Request &Asked) {
  return static_cast<double>(Asked.Head.PromptTokens + Asked.OutputTokens);
}

/// Tokens charged that the answer shows were not used.
double unusedTokens(const Request &Asked, const FinalAnswer &Answer,
                    double Charged) {
  const auto Bound = static_cast<double>(Asked.OutputTokens);
  return match(
      Answer,
      [&](const CompleteAnswer &Whole) {
        return std::max(0.0, Bound - static_cast<double>(Whole.Count));
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
  this->InForce = &Context.services().get<CatalogueView>();
  this->Members = &Context.services().get<MembershipView>();
  this->Numbers = &Context.random();
  Context.services().list<AdmissionGate>().add(*this);
  Context.services().list<RequestObserver>().add(*this);
  Context.services().list<MembershipObserver>().add(*this);
}

void LimitsPlugin::handle(const Event &What, Time Now, Actions &Out) {
  if (const auto *Received = std::get_if<PeerMessageReceived>(&What))
    this->takeIn(Received->Message, Now);
  if (Now >= this->nextWake())
    this->tellPeers(Now, Out);
  this->prune(Now);
}

Time LimitsPlugin::nextWake() const {
  const Time Next = this->ToldAt + this->Policy.Interval;
  return Next <= this->BusyUntil ? Next : Never;
}

void LimitsPlugin::checkInvariants(InvariantMonitor &Monitor, Time Now) const {
  for (const auto &[Team, Of] : this->Teams) {
    Monitor.require(Of.Limit->isConsistent(),
                    "a limit's share is what was had, received and not given");
    Monitor.require(Of.Limit->fraction(Now) <= 1,
                    "a host holds at most the whole limit");
  }
}

std::optional<NotRun> LimitsPlugin::check(const Request &Asked, Time Now) {
  TeamState *Of = this->state(Asked.Team, Now);
  if (!Of)
    return std::nullopt;
  Of->BusyUntil = Now + BusyAfterUse;
  this->BusyUntil = std::max(this->BusyUntil, Of->BusyUntil);
  const auto Reached = Of->Limit->check(tokensOf(Asked), Now);
  if (!Reached)
    return std::nullopt;
  return this->refusal(*Of, *Reached, Now);
}

NotRun LimitsPlugin::refusal(TeamState &Of, const LimitReached &Reached,
                             Time Now) {
  // Each refused caller gets a later moment, at the pace of the limit.
  const TeamEntry &Limits = Of.Declared;
  const double PerSecond = std::max({1.0, Limits.RequestsPerMinute / 60.0,
                                     static_cast<double>(Limits.Concurrent)});
  const Time Earliest = std::max(Now + Reached.Wait, Of.SlotAt);
  Of.SlotAt = std::min(Earliest + fromSeconds(1 / PerSecond),
                       Now + Reached.Wait + LongestComeBack);
  const Duration Spread =
      fromSeconds(inSeconds(this->Policy.Interval) * this->Numbers->fraction());
  return {RefusalReason::OverLimit, Earliest - Now + Spread,
          fmt::format("the team's limit of {} is used up; come back after the "
                      "time given, resolve again, or ask an operator for a "
                      "higher limit",
                      Reached.What)};
}

void LimitsPlugin::admitted(const Request &Asked, Time Now, Actions &) {
  TeamState *Of = this->state(Asked.Team, Now);
  if (!Of)
    return;
  const double Tokens = tokensOf(Asked);
  Of->Limit->admitted(Tokens, Now);
  this->Running[Asked.id()] = {Asked.Team, Tokens};
}

void LimitsPlugin::ended(const Request &Asked, const FinalAnswer &Answer,
                         Time Now, Actions &) {
  const auto Found = this->Running.find(Asked.id());
  if (Found == this->Running.end())
    return;
  const RunningRequest Ended = Found->second;
  this->Running.erase(Found);
  const auto Of = this->Teams.find(Ended.Team);
  if (Of == this->Teams.end())
    return;
  const bool HasRun = !std::holds_alternative<NotRun>(Answer);
  Of->second.Limit->ended(unusedTokens(Asked, Answer, Ended.Tokens), HasRun,
                          Now);
}

void LimitsPlugin::memberChanged(const Member &, Time, Actions &) {
  this->AreHostsStale = true;
}

void LimitsPlugin::refreshHosts(Time Now) {
  this->AreHostsStale = false;
  const auto Seen = shareHosts(*this->Members);
  if (Seen == this->Hosts)
    return;
  for (const ShareHost &Before : this->Hosts) {
    const HostId &Host = Before.Candidate.Host;
    const auto After =
        std::find_if(Seen.begin(), Seen.end(), [&](const ShareHost &Each) {
          return Each.Candidate.Host == Host;
        });
    const bool IsOver = After == Seen.end() || After->Life != Before.Life;
    const bool IsSilent = IsOver || After->IsDead;
    for (auto &[Team, Of] : this->Teams) {
      if (IsSilent)
        Of.Limit->forgetDemand(Host);
      if (IsOver)
        Of.Limit->guestIsOver(Host);
    }
  }
  this->Hosts = Seen;
  ++this->MembersVersion;
  this->MembersChangedAt = Now;
}

const ShareHost *LimitsPlugin::find(const HostId &Host) const {
  const auto Found = std::find_if(
      this->Hosts.begin(), this->Hosts.end(),
      [&](const ShareHost &Each) { return Each.Candidate.Host == Host; });
  return Found == this->Hosts.end() ? nullptr : &*Found;
}

double LimitsPlugin::fraction(const TeamId &Team, Time Now) {
  TeamState *Of = this->state(Team, Now);
  return Of ? Of->Limit->fraction(Now) : 1;
}

LimitsPlugin::TeamState *LimitsPlugin::state(const TeamId &Team, Time Now) {
  const TeamEntry *Declared = this->InForce->catalogue().team(Team);
  if (!Declared || !isLimited(*Declared))
    return nullptr;
  if (this->AreHostsStale)
    this->refreshHosts(Now);
  TeamState &Of = this->Teams[Team];
  const bool IsUpToDate = Of.Limit && Of.MembersSeen == this->MembersVersion &&
                          Of.Declared == *Declared;
  if (IsUpToDate)
    return &Of;
  ShareView Split = shareView(Team, *Declared, this->Hosts);
  if (!Of.Limit) {
    Of.Limit = std::make_unique<TeamLimit>(*Declared, std::move(Split),
                                           this->Self, this->Policy, Now);
  } else {
    const bool IsOtherEntry = Of.Declared != *Declared;
    Of.Limit->changeSplit(*Declared, std::move(Split),
                          IsOtherEntry ? Now : this->MembersChangedAt, Now);
  }
  Of.Declared = *Declared;
  Of.MembersSeen = this->MembersVersion;
  return &Of;
}

void LimitsPlugin::takeIn(const PeerMessage &Message, Time Now) {
  const auto Wake = [&](TeamState &Of) {
    Of.BusyUntil = std::max(Of.BusyUntil, Now + BusyAfterUse);
    this->BusyUntil = std::max(this->BusyUntil, Of.BusyUntil);
  };
  if (this->AreHostsStale)
    this->refreshHosts(Now);
  // A life that is over, or taken to be, has nothing to give and to ask for.
  const ShareHost *From = this->find(Message.From);
  if (!From || From->IsDead || From->Life != Message.FromLife)
    return;
  if (const auto *Usage = std::get_if<TeamUsage>(&Message.Body)) {
    for (const TeamUsage::Item &Item : Usage->Items) {
      TeamState *Of = Item.Lane == 0 ? this->state(Item.Team, Now) : nullptr;
      if (!Of)
        continue;
      Of->Limit->heard(Message.From, Item, Now);
      Wake(*Of);
    }
  }
  if (const auto *Share = std::get_if<LimitShare>(&Message.Body)) {
    TeamState *Of = this->state(Share->Team, Now);
    if (!Of)
      return;
    Of->Limit->receive(Message.From, *Share, Now);
    Wake(*Of);
  }
}

void LimitsPlugin::tellPeers(Time Now, Actions &Out) {
  this->ToldAt = Now;
  ++this->Round;
  // A host that was forgotten is not told of as changed.
  this->refreshHosts(Now);
  std::map<HostId, TeamUsage> Usage;
  std::uint64_t Told = 0;
  auto It = this->Teams.upper_bound(this->Cursor);
  for (std::size_t Seen = 0; Seen < this->Teams.size(); ++Seen) {
    if (Told >= this->Policy.ItemsPerInterval)
      break;
    if (It == this->Teams.end())
      It = this->Teams.begin();
    this->Cursor = It->first;
    if (It->second.BusyUntil >= Now && this->state(It->first, Now))
      Told += this->tellOf(It->first, It->second, Now, Usage, Out);
    ++It;
  }
  for (auto &[To, Message] : Usage) {
    Message.Epoch = this->Round;
    Out.add(SendToPeer{To, std::move(Message)});
  }
  Out.add(RecordMeasurement{RecordMeasurement::Kind::Count, "limit_items_sent",
                            "", static_cast<double>(Told)});
}

std::uint64_t LimitsPlugin::tellOf(const TeamId &Team, TeamState &Of, Time Now,
                                   std::map<HostId, TeamUsage> &Usage,
                                   Actions &Out) {
  const std::uint64_t Told = this->sendUsage(Team, Of, Now, Usage);
  std::vector<ShareGift> Gifts = Of.Limit->give(Now);
  for (const ShareGift &Gift : Gifts)
    Out.log(logEvent(events::LimitShareGiven)
                .with("team", Team.Value)
                .with("to", Gift.To.Value)
                .with("units_in_all", Gift.UnitsInAll)
                .with("of", Of.Limit->view().Units)
                .build());
  if (Gifts.empty() && Now >= Of.RepeatAt) {
    Gifts = Of.Limit->gifts();
    Of.RepeatAt = Now + RepeatInterval;
  }
  return Told + this->sendGifts(Team, Of, Gifts, Now, Out);
}

std::uint64_t LimitsPlugin::sendUsage(const TeamId &Team, TeamState &Of,
                                      Time Now,
                                      std::map<HostId, TeamUsage> &Usage) {
  const double Used = Of.Limit->used(Now);
  const bool IsNews = std::abs(Used - Of.ToldUse) > Of.ToldUse * NewsFraction ||
                      Now - Of.ToldAt >= NewsInterval;
  if (!IsNews)
    return 0;
  Of.ToldUse = Used;
  Of.ToldAt = Now;
  TeamUsage::Item Item = Of.Limit->usage(Now);
  Item.Team = Team;
  std::vector<HostId> Others = Of.Limit->guests(Now);
  for (const BaseShare &Each : Of.Limit->view().Shares)
    Others.push_back(Each.Host);
  std::erase(Others, this->Self.Host);
  for (const HostId &Each : Others)
    Usage[Each].Items.push_back(Item);
  return Others.size();
}

std::uint64_t LimitsPlugin::sendGifts(const TeamId &Team, const TeamState &Of,
                                      std::span<const ShareGift> Gifts,
                                      Time Now, Actions &Out) {
  const ShareView &View = Of.Limit->view();
  std::uint64_t Sent = 0;
  for (const ShareGift &Gift : Gifts) {
    const ShareHost *To = this->find(Gift.To);
    if (!To)
      continue;
    const double Fraction =
        static_cast<double>(Gift.UnitsInAll) / static_cast<double>(View.Units);
    Out.add(
        SendToPeer{Gift.To, LimitShare{Team, ++this->Transfers, Fraction, Now,
                                       View.keyFor(Gift.To, To->Life)}});
    ++Sent;
  }
  return Sent;
}

void LimitsPlugin::prune(Time Now) {
  if (Now - this->PrunedAt < PruneInterval)
    return;
  this->PrunedAt = Now;
  std::erase_if(this->Teams, [&](const auto &Each) {
    return Each.second.BusyUntil < Now && Each.second.Limit->isIdle(Now);
  });
}

std::vector<SettingDeclaration> LimitsPlugin::settings() {
  const std::string In(Section);
  return {
      {In, "interval", SettingKind::Span, "1s",
       "How often shares of teams' limits are moved between hosts.", 1e5, 60e6},
      {In, "epoch", SettingKind::Span, "5s",
       "How long after a change among the hosts a larger share of a limit may "
       "be used; longer than hosts take to agree on the change.",
       1e5, 600e6},
      {In, "burst", SettingKind::Span, "10s",
       "A limit a minute may be used ahead by what comes in in this time.", 1e5,
       60e6},
      {In, "items", SettingKind::Whole, "64",
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
