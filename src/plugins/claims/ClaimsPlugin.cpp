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

/// Operations are kept this much longer than their keys are accepted, so that
/// no pending claim outlives the state of its operation.
constexpr Duration ForgetDelay = std::chrono::minutes(10);
constexpr Duration PruneInterval = seconds(10);
/// Owners that membership does not list after this time count as dead.
constexpr Duration PeerDiscoveryTimeout = seconds(10);

NotRun badRequest(std::string Message) {
  return {RefusalReason::BadRequest, Duration(0), std::move(Message)};
}

NotRun keyTooOld() {
  return {RefusalReason::KeyTooOld, Duration(0),
          "the operation key is too old to tell whether it ran; look the "
          "operation up at the service"};
}

FinalAnswer answerFor(const ClaimOutcome &Outcome, Duration RetryAfter) {
  switch (Outcome.Ended) {
  case OutcomeRecord::Kind::Done:
    return CompleteAnswer{0, Outcome.Result};
  case OutcomeRecord::Kind::Failed:
    return FailedAnswer{Outcome.Result, Duration(0)};
  default:
    return OutcomeUnknown{"the operation may have run and is never run again; "
                          "look it up at the service",
                          RetryAfter};
  }
}

OperationName operationOf(const Request &Req) {
  return {Req.Team, Req.Head.Operation.value_or(OperationKey())};
}

bool didNotRun(const AttemptOutcome &Outcome) {
  return std::holds_alternative<AttemptRefused>(Outcome) ||
         std::holds_alternative<AttemptNeverSent>(Outcome);
}

} // namespace

void ClaimsPlugin::initialize(PluginContext &Context) {
  const Settings &Values = Context.settings();
  this->Registry = &Context.services();
  this->Self = Context.self().Host;
  this->Life = Context.self().Life;
  this->KeyWindow = std::min(Values.span("claims", "window"),
                             Values.span("log", "retention") / 2);
  this->ClockSkew = Values.span("claims", "skew");
  this->ClaimTimeout = Values.span("claims", "give_up_after");
  this->RetryAfter = Values.span("claims", "come_back");
  this->MaxResultBytes = Values.size("claims", "result_bytes");
  this->Log = &this->Registry->get<LogWriter>();
  this->Tail = &this->Registry->get<LogTail>();
  this->Registry->provide<ClaimKeeper>(*this);
  this->Registry->list<LogObserver>().add(*this);
  this->Registry->list<RequestObserver>().add(*this);
}

void ClaimsPlugin::start(Time Now, Actions &) {
  this->Members = this->Registry->find<MembershipView>();
  this->StartedAt = Now;
  this->PruneAt = Now + PruneInterval;
}

void ClaimsPlugin::handle(const Event &, Time Now, Actions &Out) {
  this->denyExpired(Now, Out);
  if (Now < this->PruneAt)
    return;
  this->PruneAt = Now + PruneInterval;
  const Time Oldest = Now - this->KeyWindow - ForgetDelay;
  this->Table.prune(Oldest);
  const auto Forgotten = [this](const auto &Entry) {
    return !this->Table.find(Entry.first);
  };
  std::erase_if(this->Grants, Forgotten);
}

Time ClaimsPlugin::nextWake() const {
  Time Earliest = Never;
  for (const auto &[Name, Claim] : this->PendingClaims)
    Earliest = std::min(Earliest, Claim.Deadline);
  return Earliest;
}

void ClaimsPlugin::checkInvariants(InvariantMonitor &Monitor, Time) const {
  Monitor.require(this->DuplicateGrants == 0,
                  "an operation is granted at most once");
  for (const auto &[Name, Granted] : this->Grants) {
    const ClaimedOperation *Operation = this->Table.find(Name);
    Monitor.require(!Operation || (Operation->Owner &&
                                   Operation->Owner->Claim == Granted.Claim),
                    "a granted claim owns its operation in the log");
  }
}

void ClaimsPlugin::claim(const Request &Req, Time Now, Actions &Out) {
  const OperationName Name = operationOf(Req);
  const Fingerprint Content = Req.Head.Content;
  if (const auto Refusal = this->checkKey(Req, Now))
    return this->decide(Req.id(), ClaimDenied{*Refusal}, Now, Out);
  if (const auto Answer = this->knownAnswer(Name, Content, Now))
    return this->decide(Req.id(), ClaimDenied{*Answer}, Now, Out);
  if (this->mayHaveMissedClaim(*creationTime(Name.Key)))
    return this->decide(Req.id(), ClaimDenied{keyTooOld()}, Now, Out);
  if (!this->CaughtUp || !this->Log->isReachable(Now))
    return this->decide(Req.id(), ClaimDenied{this->logUnavailable()}, Now,
                        Out);
  const RecordId Id = this->Log->append(
      ClaimRecord{Name.Key, Name.Team, this->Self, this->Life, Content}, Now,
      Out);
  this->PendingClaims[Name] =
      PendingClaim{Id, Req.id(), Content, Now + this->ClaimTimeout};
}

void ClaimsPlugin::abandon(const Request &Req, Time Now, Actions &Out) {
  const OperationName Name = operationOf(Req);
  const auto Pending = this->PendingClaims.find(Name);
  if (Pending != this->PendingClaims.end() &&
      Pending->second.Requester == Req.id()) {
    this->Log->withdraw(Pending->second.Claim);
    this->PendingClaims.erase(Pending);
    return;
  }
  const auto Granted = this->Grants.find(Name);
  if (Granted == this->Grants.end() || Granted->second.Requester != Req.id() ||
      Granted->second.Outcome)
    return;
  if (Granted->second.MayHaveRun)
    return this->finish(Req, OutcomeRecord::Kind::Unknown, "", Now, Out);
  const RecordId Claim = Granted->second.Claim;
  this->Grants.erase(Granted);
  this->releaseClaim(Name, Claim, Now, Out);
}

void ClaimsPlugin::finish(const Request &Req, OutcomeRecord::Kind Ended,
                          std::string_view Result, Time Now, Actions &Out) {
  const OperationName Name = operationOf(Req);
  const auto Granted = this->Grants.find(Name);
  if (Granted == this->Grants.end() || Granted->second.Requester != Req.id() ||
      Granted->second.Outcome)
    return;
  ClaimOutcome Outcome{Ended, std::string(Result)};
  if (Result.size() > this->MaxResultBytes)
    Outcome = {OutcomeRecord::Kind::Failed,
               "it ran, but its result of " + std::to_string(Result.size()) +
                   " bytes is too long to be kept; look it up at the service"};
  Granted->second.Outcome = Outcome;
  this->Log->append(OutcomeRecord{Name.Key, Name.Team, this->Life,
                                  Outcome.Ended, Outcome.Result,
                                  Granted->second.Claim.Sequence},
                    Now, Out);
}

void ClaimsPlugin::recordRead(const StoredRecord &Stored, Time Now,
                              Actions &Out) {
  if (const auto *Claim = std::get_if<ClaimRecord>(&Stored.Record.Body))
    this->foldClaim(Stored.Record.Id, *Claim, Now, Out);
  else if (const auto *End = std::get_if<OutcomeRecord>(&Stored.Record.Body))
    this->Table.fold(*End);
}

void ClaimsPlugin::appendSettled(const RecordId &Id, bool Appended, Time Now,
                                 Actions &Out) {
  if (Appended)
    return;
  const auto Found =
      std::find_if(this->PendingClaims.begin(), this->PendingClaims.end(),
                   [&](const auto &Entry) { return Entry.second.Claim == Id; });
  if (Found == this->PendingClaims.end())
    return;
  const OperationName Name = Found->first;
  this->denyPending(Name, this->logUnavailable(), Now, Out);
}

void ClaimsPlugin::caughtUp(LogOffset, Time, Actions &) {
  this->CaughtUp = true;
}

void ClaimsPlugin::recordsMissed(LogOffset, Time Now, Actions &) {
  if (!this->Tail->isComplete())
    this->MissedKeysUntil = Now + this->ClockSkew;
}

void ClaimsPlugin::dispatched(const Request &Req, const Attempt &, Time,
                              Actions &) {
  const auto Granted = this->Grants.find(operationOf(Req));
  if (Granted != this->Grants.end() && Granted->second.Requester == Req.id())
    Granted->second.MayHaveRun = true;
}

void ClaimsPlugin::attemptEnded(const Request &Req, const Attempt &,
                                const AttemptOutcome &Outcome, Time,
                                Actions &) {
  const auto Granted = this->Grants.find(operationOf(Req));
  if (Granted != this->Grants.end() && Granted->second.Requester == Req.id() &&
      didNotRun(Outcome))
    Granted->second.MayHaveRun = false;
}

std::optional<NotRun> ClaimsPlugin::checkKey(const Request &Req,
                                             Time Now) const {
  if (!Req.Head.Operation)
    return badRequest("this class needs an operation_key; give a UUIDv7");
  const auto CreatedAt = creationTime(*Req.Head.Operation);
  if (!CreatedAt)
    return badRequest("operation_key is no UUIDv7; make one for each operation "
                      "and send it again with each retry");
  if (*CreatedAt > Now + this->ClockSkew)
    return badRequest("operation_key is from the future; set the caller's "
                      "clock");
  if (*CreatedAt < Now - this->KeyWindow)
    return keyTooOld();
  return std::nullopt;
}

std::optional<FinalAnswer> ClaimsPlugin::knownAnswer(const OperationName &Name,
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
      return answerFor(*Granted->second.Outcome, this->RetryAfter);
    return InProgress{this->RetryAfter};
  }
  const ClaimedOperation *Operation = this->Table.find(Name);
  if (Operation && Operation->Owner) {
    if (Operation->Owner->Content != Content)
      return OtherContent;
    return this->answerForOwned(*Operation, Now);
  }
  const auto Pending = this->PendingClaims.find(Name);
  if (Pending == this->PendingClaims.end())
    return std::nullopt;
  if (Pending->second.Content != Content)
    return OtherContent;
  return InProgress{this->RetryAfter};
}

FinalAnswer ClaimsPlugin::answerForOwned(const ClaimedOperation &Operation,
                                         Time Now) const {
  if (Operation.Outcome)
    return answerFor(*Operation.Outcome, this->RetryAfter);
  if (this->isOwnerDead(*Operation.Owner, Now))
    return answerFor(ClaimOutcome{}, this->RetryAfter);
  return InProgress{this->RetryAfter};
}

NotRun ClaimsPlugin::logUnavailable() const {
  return {RefusalReason::LogUnavailable, this->RetryAfter,
          "the claim can't be recorded now; ask again with the same key"};
}

bool ClaimsPlugin::mayHaveMissedClaim(Time CreatedAt) const {
  return CreatedAt <= this->MissedKeysUntil;
}

bool ClaimsPlugin::isOwnerDead(const ClaimOwner &Owner, Time Now) const {
  if (Owner.Host == this->Self)
    return Owner.Claim.Maker != this->Life;
  if (!this->Members)
    return false;
  if (this->Members->isDead(Owner.Host, Owner.Claim.Maker))
    return true;
  const auto Peers = this->Members->peers();
  const bool IsListed =
      std::any_of(Peers.begin(), Peers.end(), [&](const Member &Peer) {
        return Peer.Listing.Id == Owner.Host;
      });
  return !IsListed && Now > this->StartedAt + PeerDiscoveryTimeout;
}

void ClaimsPlugin::foldClaim(const RecordId &Id, const ClaimRecord &Claim,
                             Time Now, Actions &Out) {
  const OperationName Name{Claim.Team, Claim.Key};
  const ClaimFoldResult FoldResult = this->Table.fold(Id, Claim);
  if (Claim.OwnerLife == this->Life)
    return this->handleOwnClaim(Name, Id, FoldResult, Now, Out);
  // Another host owns the operation, so a pending claim of this host has lost.
  const auto Pending = this->PendingClaims.find(Name);
  if (FoldResult == ClaimFoldResult::Owns &&
      Pending != this->PendingClaims.end())
    this->denyPending(
        Name, *this->knownAnswer(Name, Pending->second.Content, Now), Now, Out);
}

void ClaimsPlugin::handleOwnClaim(const OperationName &Name, const RecordId &Id,
                                  ClaimFoldResult FoldResult, Time Now,
                                  Actions &Out) {
  if (FoldResult == ClaimFoldResult::Ignored)
    return;
  const auto Pending = this->PendingClaims.find(Name);
  std::optional<PendingClaim> Own;
  if (Pending != this->PendingClaims.end() && Pending->second.Claim == Id) {
    Own = Pending->second;
    this->PendingClaims.erase(Pending);
  }
  if (FoldResult == ClaimFoldResult::Lost) {
    if (Own)
      this->decide(Own->Requester,
                   ClaimDenied{*this->knownAnswer(Name, Own->Content, Now)},
                   Now, Out);
    return;
  }
  const bool Late = Own && Now >= Own->Deadline;
  const bool Missed =
      this->mayHaveMissedClaim(this->Table.find(Name)->CreatedAt);
  if (!Own || Late || Missed) {
    this->releaseClaim(Name, Id, Now, Out);
    if (Own)
      this->decide(Own->Requester,
                   ClaimDenied{Missed ? keyTooOld() : this->logUnavailable()},
                   Now, Out);
    return;
  }
  if (!this->Grants
           .emplace(Name, Grant{Id, Own->Requester, Own->Content, false, {}})
           .second)
    ++this->DuplicateGrants;
  this->decide(Own->Requester, ClaimGranted{}, Now, Out);
}

void ClaimsPlugin::denyPending(const OperationName &Name, FinalAnswer Answer,
                               Time Now, Actions &Out) {
  const auto Pending = this->PendingClaims.find(Name);
  if (Pending == this->PendingClaims.end())
    return;
  const RequestId Requester = Pending->second.Requester;
  this->Log->withdraw(Pending->second.Claim);
  this->PendingClaims.erase(Pending);
  this->decide(Requester, ClaimDenied{std::move(Answer)}, Now, Out);
}

void ClaimsPlugin::releaseClaim(const OperationName &Name,
                                const RecordId &Claim, Time Now, Actions &Out) {
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

void ClaimsPlugin::denyExpired(Time Now, Actions &Out) {
  std::vector<OperationName> Expired;
  for (const auto &[Name, Claim] : this->PendingClaims) {
    if (Now >= Claim.Deadline)
      Expired.push_back(Name);
  }
  for (const OperationName &Name : Expired)
    this->denyPending(Name, this->logUnavailable(), Now, Out);
}

void ClaimsPlugin::decide(const RequestId &Id, const ClaimVerdict &Verdict,
                          Time Now, Actions &Out) {
  const bool Granted = std::holds_alternative<ClaimGranted>(Verdict);
  Out.log(logEvent(events::ClaimDecided)
              .with("request", Id.Value)
              .with("granted", Granted ? "yes" : "no")
              .build());
  Out.count("claims_decided", Granted ? "granted" : "denied");
  for (ClaimObserver *Observer : this->Registry->list<ClaimObserver>().all())
    Observer->claimDecided(Id, Verdict, Now, Out);
}

} // namespace banyanpick
