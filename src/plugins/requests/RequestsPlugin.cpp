#include "plugins/requests/RequestsPlugin.h"

#include "base/Visitor.h"
#include "kernel/PluginRegistry.h"

namespace banyanpick {

namespace {

const PluginRegistration
    Registration({"requests",
                  {"catalogue", "claims", "fairness", "fleet", "groups",
                   "quarantine", "reclaim", "retry", "routing"},
                  RequestsSettings::declarations,
                  []() -> std::unique_ptr<Plugin> {
                    return std::make_unique<RequestsPlugin>();
                  }});

} // namespace

void RequestsPlugin::initialize(PluginContext &Context) {
  this->Dependencies = std::make_unique<RequestServices>(Context);
  this->Finisher =
      std::make_unique<RequestFinisher>(*this->Dependencies, this->Table);
  this->RequestDispatcher = std::make_unique<Dispatcher>(
      *this->Dependencies, this->Table, *this->Finisher);
  this->AttemptEnds = std::make_unique<AttemptEndHandler>(
      *this->Dependencies, this->Table, *this->Finisher,
      *this->RequestDispatcher);
  this->Intake = std::make_unique<RequestIntake>(*this->Dependencies,
                                                 this->Table, *this->Finisher,
                                                 *this->RequestDispatcher);
  Context.services().provide<RequestTable>(*this);
  Context.services().list<ClaimObserver>().add(*this);
  Context.services().list<GroupObserver>().add(*this);
  Context.services().list<FleetObserver>().add(*this);
}

void RequestsPlugin::handle(const Event &Incoming, Time Now, Actions &Out) {
  this->endAttemptsOnDead(Now, Out);
  this->endExpired(Now, Out);
  match(
      Incoming,
      [&](const RequestArrived &Arrival) {
        this->Intake->arrived(Arrival, Now, Out);
      },
      [&](const CallerDisconnected &Gone) {
        this->Intake->callerGone(Gone, Now, Out);
      },
      [&](const ResumeRequest &Resume) {
        this->Intake->resumeAsked(Resume, Now, Out);
      },
      [&](const AttemptProgressed &Progress) {
        this->AttemptEnds->progressed(Progress, Now, Out);
      },
      [&](const AttemptEnded &End) { this->AttemptEnds->ended(End, Now, Out); },
      [](const auto &) {});
  this->endAttemptsOnDead(Now, Out);
  // Arrivals and ended attempts start a sweep at once. Other changes wait for
  // the next regular sweep, so that a burst of reports costs one sweep.
  const bool SweepsNow = std::holds_alternative<RequestArrived>(Incoming) ||
                         std::holds_alternative<AttemptEnded>(Incoming) ||
                         std::holds_alternative<LogRead>(Incoming);
  if (this->Dependencies->Queue.size() != 0 &&
      (SweepsNow || Now >= this->RequestDispatcher->nextSweep()))
    this->RequestDispatcher->sweep(Now, Out);
}

Time RequestsPlugin::nextWake() const {
  return std::min(this->Table.nextExpiry(),
                  this->RequestDispatcher->nextSweep());
}

void RequestsPlugin::checkInvariants(InvariantMonitor &Monitor,
                                     Time Now) const {
  Monitor.require(this->Table.nextExpiry() > Now,
                  "no admitted request outlives its deadline");
}

const Request *RequestsPlugin::find(const RequestId &Id) const {
  const RunningRequest *Found = this->Table.find(Id);
  return Found ? &Found->Original : nullptr;
}

const Attempt *RequestsPlugin::attemptOf(const RequestId &Id) const {
  const RunningRequest *Found = this->Table.find(Id);
  return Found ? Found->attempt() : nullptr;
}

const Request *RequestsPlugin::owner(const AttemptId &Id) const {
  const RunningRequest *Found = this->Table.findByAttempt(Id);
  return Found ? &Found->Original : nullptr;
}

std::string RequestsPlugin::resumeToken(const RequestId &Id) const {
  const RunningRequest *Found = this->Table.find(Id);
  return Found ? Found->ResumeToken : std::string();
}

std::uint64_t RequestsPlugin::nextIndex(const RequestId &Id) const {
  const RunningRequest *Found = this->Table.find(Id);
  return Found ? Found->NextIndex : 0;
}

void RequestsPlugin::handOver(const RequestId &Id, const Address &To, Time Now,
                              Actions &Out) {
  const RunningRequest *Found = this->Table.find(Id);
  if (!Found)
    return;
  Out.add(RedirectCaller{Id, To, Found->ResumeToken});
  Out.count("streams_handed_over");
  this->Finisher->release(Id, Now, Out);
}

void RequestsPlugin::adopt(const StreamHandover &Stream, Time Now,
                           Actions &Out) {
  this->Intake->adopt(Stream, Now, Out);
}

void RequestsPlugin::claimDecided(const RequestId &Id,
                                  const ClaimVerdict &Verdict, Time Now,
                                  Actions &Out) {
  RunningRequest *Found = this->Table.find(Id);
  if (!Found || !std::holds_alternative<AwaitingClaim>(Found->Phase))
    return;
  match(
      Verdict,
      [&](const ClaimGranted &) {
        this->RequestDispatcher->enqueue(*Found, Now);
      },
      [&](const ClaimDenied &Denied) {
        this->Finisher->conclude(Id, Denied.Answer, Now, Out);
      });
}

void RequestsPlugin::groupDecided(const RequestId &Id,
                                  std::span<const HoldId> Holds, Time Now,
                                  Actions &Out) {
  this->RequestDispatcher->groupDecided(Id, Holds, Now, Out);
}

void RequestsPlugin::upstreamChanged(const Upstream &Changed, Time, Actions &) {
  // The fleet may detect this while the end of another attempt is handled. The
  // attempts on the upstream are ended after that.
  if (Changed.State == UpstreamState::Dead)
    this->DeadUpstreams.push_back({Changed.Listing.Id, Changed.Listing.Life});
}

void RequestsPlugin::endAttemptsOnDead(Time Now, Actions &Out) {
  for (const DeadIncarnation &Died : std::exchange(this->DeadUpstreams, {}))
    this->AttemptEnds->upstreamDied(Died.Upstream, Died.Life, Now, Out);
}

void RequestsPlugin::endExpired(Time Now, Actions &Out) {
  for (const RequestId &Id : this->Table.expired(Now))
    this->Finisher->giveUp(Id, "its promised time is over", Now, Out);
}

} // namespace banyanpick
