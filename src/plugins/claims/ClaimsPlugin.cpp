/// \file
#include "plugins/claims/ClaimsPlugin.h"

#include "base/EventNumbers.h"
#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"
#include "plugins/claims/OperationKeyTime.h"

#include <algorithm>

namespace banyanpick {

namespace {

std::vector<SettingDeclaration> claimsSettings() {
  using Kind = SettingKind;
  return {
      {"claims", "window", Kind::Span, "1h",
       "Operation keys older than this are refused; at most half of the log's "
       "retention counts.",
       1e6, 1e12},
      {"claims", "skew", Kind::Span, "10s",
       "How far callers' clocks may be ahead of this host's.", 0, 600e6},
      {"claims", "give_up_after", Kind::Span, "2s",
       "A request whose claim is not settled by then ends as not run.", 10e3,
       600e6},
      {"claims", "come_back", Kind::Span, "500ms",
       "When a caller asks again about an operation that still runs.", 10e3,
       60e6},
      {"claims", "result_bytes", Kind::Size, "4KB",
       "Longest result kept for re-sends.", 0, 1e6},
  };
}

const PluginRegistration Registration({"claims", {"log"}, claimsSettings, [] {
                                         return std::unique_ptr<Plugin>(
                                             std::make_unique<ClaimsPlugin>());
                                       }});

/// Operations stay known this much longer than their keys are taken, so that
/// no claim under way outlives what is known of its operation.
constexpr Duration ForgetAfter = std::chrono::minutes(10);
constexpr Duration PruneInterval = seconds(10);
/// Owners that membership has not met after this are taken as gone.
constexpr Duration MeetPeersWithin = seconds(10);

NotRun badRequest(std::string Message) {
  return {RefusalReason::BadRequest, Duration(0), std::move(Message)};
}

NotRun keyTooOld() {
  return {RefusalReason::KeyTooOld, Duration(0),
          "the operation key is too old to tell whether it ran; look the "
          "operation up at the service"};
}

FinalAnswer answerFor(const ClaimOutcome &Outcome, Duration ComeBack) {
  switch (Outcome.Ended) {
  case OutcomeRecord::Kind::Done:
    return CompleteAnswer{0, Outcome.Result};
  case OutcomeRecord::Kind::Failed:
    return FailedAnswer{Outcome.Result, Duration(0)};
  default:
    return OutcomeUnknown{"the operation may have run and is never run again; "
                          "look it up at the service",
                          ComeBack};
  }
}

OperationName nameOf(const Request &Asked) {
  return {Asked.Team, Asked.Head.Operation.value_or(OperationKey())};
}

bool surelyNotRun(const AttemptOutcome &Outcome) {
  return std::holds_alternative<AttemptRefused>(Outcome) ||
         std::holds_alternative<AttemptNeverSent>(Outcome);
}

} // namespace

void ClaimsPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Offered = &Context.services();
  this->Self = Context.self().Host;
  this->Life = Context.self().Life;
  this->Window = std::min(Values.span("claims", "window"),
                          Values.span("log", "retention") / 2);
  this->Skew = Values.span("claims", "skew");
  this->GiveUpAfter = Values.span("claims", "give_up_after");
  this->ComeBack = Values.span("claims", "come_back");
  this->MostResult = Values.size("claims", "result_bytes");
  this->Log = &this->Offered->get<LogWriter>();
  this->Tail = &this->Offered->get<LogTail>();
  this->Offered->provide<ClaimKeeper>(*this);
  this->Offered->list<LogObserver>().add(*this);
  this->Offered->list<RequestObserver>().add(*this);
}

void ClaimsPlugin::start(Time Now, Actions &) {
  this->Members = this->Offered->find<MembershipView>();
  this->StartedAt = Now;
  this->PruneAt = Now + PruneInterval;
}

void ClaimsPlugin::handle(const Event &, Time Now, Actions &Out) {
  this->giveUpLate(Now, Out);
  if (Now < this->PruneAt)
    return;
  this->PruneAt = Now + PruneInterval;
  const Time Oldest = Now - this->Window - ForgetAfter;
  this->Table.prune(Oldest);
  const auto Forgotten = [this](const auto &Each) {
    return !this->Table.find(Each.first);
  };
  std::erase_if(this->Grants, Forgotten);
}

Time ClaimsPlugin::nextWake() const {
  Time Earliest = Never;
  for (const auto &[Name, Each] : this->Claims)
    Earliest = std::min(Earliest, Each.GiveUpAt);
  return Earliest;
}

void ClaimsPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  Monitor.require(this->DoubleGrants == 0,
                  "an operation is granted at most once");
  for (const auto &[Name, Each] : this->Grants) {
    const ClaimedOperation *Known = this->Table.find(Name);
    Monitor.require(!Known ||
                        (Known->Owner && Known->Owner->Claim == Each.Claim),
                    "a granted claim owns its operation in the log");
  }
}

void ClaimsPlugin::claim(const Request &Asked, Time Now, Actions &Out) {
  const OperationName Name = nameOf(Asked);
  const Fingerprint Content = Asked.Head.Content;
  if (const auto Refusal = this->refusalOf(Asked, Now))
    return this->decide(Asked.id(), ClaimDenied{*Refusal}, Now, Out);
  if (const auto Answer = this->answerKnown(Name, Content, Now))
    return this->decide(Asked.id(), ClaimDenied{*Answer}, Now, Out);
  if (this->isFenced(*creationTime(Name.Key)))
    return this->decide(Asked.id(), ClaimDenied{keyTooOld()}, Now, Out);
  if (!this->CaughtUp || !this->Log->isReachable(Now))
    return this->decide(Asked.id(), ClaimDenied{this->notSettled()}, Now, Out);
  const RecordId Id = this->Log->append(
      ClaimRecord{Name.Key, Name.Team, this->Self, this->Life, Content}, Now,
      Out);
  this->Claims[Name] =
      Waiting{Id, Asked.id(), Content, Now + this->GiveUpAfter};
}

void ClaimsPlugin::abandon(const Request &Asked, Time Now, Actions &Out) {
  const OperationName Name = nameOf(Asked);
  const auto Underway = this->Claims.find(Name);
  if (Underway != this->Claims.end() && Underway->second.For == Asked.id()) {
    this->Log->withdraw(Underway->second.Claim);
    this->Claims.erase(Underway);
    return;
  }
  const auto Granted = this->Grants.find(Name);
  if (Granted == this->Grants.end() || Granted->second.For != Asked.id() ||
      Granted->second.Outcome)
    return;
  if (Granted->second.MayHaveRun)
    return this->finish(Asked, OutcomeRecord::Kind::Unknown, "", Now, Out);
  const RecordId Claim = Granted->second.Claim;
  this->Grants.erase(Granted);
  this->giveBack(Name, Claim, Now, Out);
}

void ClaimsPlugin::finish(const Request &Asked, OutcomeRecord::Kind Ended,
                          std::string_view Result, Time Now, Actions &Out) {
  const OperationName Name = nameOf(Asked);
  const auto Granted = this->Grants.find(Name);
  if (Granted == this->Grants.end() || Granted->second.For != Asked.id() ||
      Granted->second.Outcome)
    return;
  ClaimOutcome Outcome{Ended, std::string(Result)};
  if (Result.size() > this->MostResult)
    Outcome = {OutcomeRecord::Kind::Failed,
               "it ran, but its result of " + std::to_string(Result.size()) +
                   " bytes is too long to be kept; look it up at the service"};
  Granted->second.Outcome = Outcome;
  this->Log->append(OutcomeRecord{Name.Key, Name.Team, this->Life,
                                  Outcome.Ended, Outcome.Result,
                                  Granted->second.Claim.Sequence},
                    Now, Out);
}

void ClaimsPlugin::recordRead(const StoredRecord &Read, Time Now,
                              Actions &Out) {
  if (const auto *Claim = std::get_if<ClaimRecord>(&Read.Record.Body))
    this->takeClaim(Read.Record.Id, *Claim, Now, Out);
  else if (const auto *End = std::get_if<OutcomeRecord>(&Read.Record.Body))
    this->Table.take(*End);
}

void ClaimsPlugin::appendSettled(const RecordId &Id, bool Taken, Time Now,
                                 Actions &Out) {
  if (Taken)
    return;
  const auto Found =
      std::find_if(this->Claims.begin(), this->Claims.end(),
                   [&](const auto &Each) { return Each.second.Claim == Id; });
  if (Found == this->Claims.end())
    return;
  const OperationName Name = Found->first;
  this->denyWaiting(Name, this->notSettled(), Now, Out);
}

void ClaimsPlugin::caughtUp(LogOffset, Time, Actions &) {
  this->CaughtUp = true;
}

void ClaimsPlugin::recordsMissed(LogOffset, Time Now, Actions &) {
  if (!this->Tail->isWhole())
    this->KeysAfter = Now + this->Skew;
}

void ClaimsPlugin::dispatched(const Request &Asked, const Attempt &, Time,
                              Actions &) {
  const auto Granted = this->Grants.find(nameOf(Asked));
  if (Granted != this->Grants.end() && Granted->second.For == Asked.id())
    Granted->second.MayHaveRun = true;
}

void ClaimsPlugin::attemptEnded(const Request &Asked, const Attempt &,
                                const AttemptOutcome &Outcome, Time,
                                Actions &) {
  const auto Granted = this->Grants.find(nameOf(Asked));
  if (Granted != this->Grants.end() && Granted->second.For == Asked.id() &&
      surelyNotRun(Outcome))
    Granted->second.MayHaveRun = false;
}

std::optional<NotRun> ClaimsPlugin::refusalOf(const Request &Asked,
                                              Time Now) const {
  if (!Asked.Head.Operation)
    return badRequest("this class needs an operation_key; give a UUIDv7");
  const auto CreatedAt = creationTime(*Asked.Head.Operation);
  if (!CreatedAt)
    return badRequest("operation_key is no UUIDv7; make one for each operation "
                      "and send it again with each retry");
  if (*CreatedAt > Now + this->Skew)
    return badRequest("operation_key is from the future; set the caller's "
                      "clock");
  if (*CreatedAt < Now - this->Window)
    return keyTooOld();
  return std::nullopt;
}

std::optional<FinalAnswer> ClaimsPlugin::answerKnown(const OperationName &Name,
                                                     Fingerprint Content,
                                                     Time Now) const {
  const NotRun OtherContent =
      badRequest("this operation_key was used with another content; make a "
                 "new key for each operation");
  const auto Granted = this->Grants.find(Name);
  if (Granted != this->Grants.end()) {
    if (Granted->second.Content != Content)
      return OtherContent;
    if (Granted->second.Outcome)
      return answerFor(*Granted->second.Outcome, this->ComeBack);
    return InProgress{this->ComeBack};
  }
  const ClaimedOperation *Known = this->Table.find(Name);
  if (Known && Known->Owner) {
    if (Known->Owner->Content != Content)
      return OtherContent;
    return this->answerOwned(*Known, Now);
  }
  const auto Underway = this->Claims.find(Name);
  if (Underway == this->Claims.end())
    return std::nullopt;
  if (Underway->second.Content != Content)
    return OtherContent;
  return InProgress{this->ComeBack};
}

FinalAnswer ClaimsPlugin::answerOwned(const ClaimedOperation &Known,
                                      Time Now) const {
  if (Known.Outcome)
    return answerFor(*Known.Outcome, this->ComeBack);
  if (this->isGone(*Known.Owner, Now))
    return answerFor(ClaimOutcome{}, this->ComeBack);
  return InProgress{this->ComeBack};
}

NotRun ClaimsPlugin::notSettled() const {
  return {RefusalReason::LogUnavailable, this->ComeBack,
          "the claim can't be recorded now; ask again with the same key"};
}

bool ClaimsPlugin::isFenced(Time CreatedAt) const {
  return CreatedAt <= this->KeysAfter;
}

bool ClaimsPlugin::isGone(const ClaimOwner &Owner, Time Now) const {
  if (Owner.Host == this->Self)
    return Owner.Claim.Maker != this->Life;
  if (!this->Members)
    return false;
  if (this->Members->isDead(Owner.Host, Owner.Claim.Maker))
    return true;
  const auto Peers = this->Members->peers();
  const bool Met =
      std::any_of(Peers.begin(), Peers.end(), [&](const Member &Each) {
        return Each.Listing.Id == Owner.Host;
      });
  return !Met && Now > this->StartedAt + MeetPeersWithin;
}

void ClaimsPlugin::takeClaim(const RecordId &Id, const ClaimRecord &Claim,
                             Time Now, Actions &Out) {
  const OperationName Name{Claim.Team, Claim.Key};
  const ClaimJudgement Judged = this->Table.take(Id, Claim);
  if (Claim.OwnerLife == this->Life)
    return this->takeOwnClaim(Name, Id, Judged, Now, Out);
  // Somebody else owns it: an own claim on its way has lost already.
  const auto Underway = this->Claims.find(Name);
  if (Judged == ClaimJudgement::Owns && Underway != this->Claims.end())
    this->denyWaiting(Name,
                      *this->answerKnown(Name, Underway->second.Content, Now),
                      Now, Out);
}

void ClaimsPlugin::takeOwnClaim(const OperationName &Name, const RecordId &Id,
                                ClaimJudgement Judged, Time Now, Actions &Out) {
  if (Judged == ClaimJudgement::Void)
    return;
  const auto Underway = this->Claims.find(Name);
  std::optional<Waiting> Own;
  if (Underway != this->Claims.end() && Underway->second.Claim == Id) {
    Own = Underway->second;
    this->Claims.erase(Underway);
  }
  if (Judged == ClaimJudgement::Lost) {
    if (Own)
      this->decide(Own->For,
                   ClaimDenied{*this->answerKnown(Name, Own->Content, Now)},
                   Now, Out);
    return;
  }
  const bool Late = Own && Now >= Own->GiveUpAt;
  const bool Fenced = this->isFenced(this->Table.find(Name)->CreatedAt);
  if (!Own || Late || Fenced) {
    this->giveBack(Name, Id, Now, Out);
    if (Own)
      this->decide(Own->For,
                   ClaimDenied{Fenced ? keyTooOld() : this->notSettled()}, Now,
                   Out);
    return;
  }
  if (!this->Grants.emplace(Name, Grant{Id, Own->For, Own->Content, false, {}})
           .second)
    ++this->DoubleGrants;
  this->decide(Own->For, ClaimGranted{}, Now, Out);
}

void ClaimsPlugin::denyWaiting(const OperationName &Name, FinalAnswer Answer,
                               Time Now, Actions &Out) {
  const auto Underway = this->Claims.find(Name);
  if (Underway == this->Claims.end())
    return;
  const RequestId For = Underway->second.For;
  this->Log->withdraw(Underway->second.Claim);
  this->Claims.erase(Underway);
  this->decide(For, ClaimDenied{std::move(Answer)}, Now, Out);
}

void ClaimsPlugin::giveBack(const OperationName &Name, const RecordId &Claim,
                            Time Now, Actions &Out) {
  this->Log->append(OutcomeRecord{Name.Key, Name.Team, this->Life,
                                  OutcomeRecord::Kind::Released, "",
                                  Claim.Sequence},
                    Now, Out);
  Out.log(logEvent(events::ClaimReleased)
              .with("team", Name.Team.Value)
              .with("claim", Claim.Sequence)
              .build());
  Out.count("claims_released");
}

void ClaimsPlugin::giveUpLate(Time Now, Actions &Out) {
  std::vector<OperationName> Late;
  for (const auto &[Name, Each] : this->Claims) {
    if (Now >= Each.GiveUpAt)
      Late.push_back(Name);
  }
  for (const OperationName &Name : Late)
    this->denyWaiting(Name, this->notSettled(), Now, Out);
}

void ClaimsPlugin::decide(const RequestId &Id, const ClaimVerdict &Verdict,
                          Time Now, Actions &Out) {
  const bool Granted = std::holds_alternative<ClaimGranted>(Verdict);
  Out.log(logEvent(events::ClaimDecided)
              .with("request", Id.Value)
              .with("granted", Granted ? "yes" : "no")
              .build());
  Out.count("claims_decided", Granted ? "granted" : "denied");
  for (ClaimObserver *Each : this->Offered->list<ClaimObserver>().all())
    Each->claimDecided(Id, Verdict, Now, Out);
}

} // namespace banyanpick
