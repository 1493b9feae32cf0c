#include "harness/PromiseChecker.h"

#include "base/Visitor.h"

#include <fmt/format.h>

namespace banyanpick {

namespace {

/// Added to the deadline: a caller's round trip and one sweep of the kernel.
constexpr Duration DeadlineSlack = milliseconds(300);
/// An accepted change is in force on all hosts within this time.
constexpr Duration MaxPropagationTime = seconds(6);

std::string label(const CallerRecord &Record) {
  return fmt::format("request {} of class {} at {}", Record.Name,
                     Record.Head.Class.Value, Record.Host);
}

} // namespace

void PromiseChecker::reportViolation(const std::string &Problem) {
  if (this->ReportedViolations.insert(Problem).second)
    this->Deployment.violation(Problem);
}

void PromiseChecker::noteAccepted(LogOffset Offset) {
  this->AcceptedChanges.push_back({Offset, this->Deployment.now()});
}

void PromiseChecker::check() {
  auto &Callers = this->Deployment.callers();
  for (std::size_t Index = this->FirstOpen; Index < Callers.size(); ++Index)
    this->checkCaller(Callers[Index]);
  while (this->FirstOpen < Callers.size() && !Callers[this->FirstOpen].isOpen())
    ++this->FirstOpen;
  this->checkRuns();
  this->checkOrders();
  for (const auto &[Name, Host] : this->Deployment.hosts())
    this->checkCatalogue(*Host);
}

void PromiseChecker::checkCaller(CallerRecord &Record) {
  if (Record.OutOfOrderChunks > 0)
    this->reportViolation(label(Record) +
                          " received a repeated chunk or missed one");
  if (Record.ForeignChunks > 0)
    this->reportViolation(label(Record) + " received chunks of another answer");
  if (Record.Answer) {
    if (std::holds_alternative<NotRun>(*Record.Answer) &&
        Record.StartedRuns > 0)
      this->reportViolation(label(Record) +
                            " was answered \"not run\" but ran");
    if (const auto *Complete = std::get_if<CompleteAnswer>(&*Record.Answer))
      this->checkCompleteAnswer(Record, *Complete);
  }
  if (!Record.AcceptedAt || Record.ConnectionLost)
    return;
  const Time End = Record.EndedAt.value_or(this->Deployment.now());
  if (End <= Record.Deadline + DeadlineSlack)
    return;
  if (Record.HostWasFrozen)
    ++this->LateWhileFrozen;
  else
    this->reportViolation(
        label(Record) +
        " was admitted and has no final answer by its deadline");
}

void PromiseChecker::checkCompleteAnswer(const CallerRecord &Record,
                                         const CompleteAnswer &Answer) {
  if (Record.Head.Operation)
    return;
  if (Answer.Count != Record.Next || Record.Next != Record.Head.MaxOutputTokens)
    this->reportViolation(
        fmt::format("{} has a complete answer with {} chunks of {}",
                    label(Record), Record.Next, Record.Head.MaxOutputTokens));
}

void PromiseChecker::checkRuns() {
  std::map<std::string, std::uint32_t> Sum;
  for (const auto &[Name, Application] : this->Deployment.applications())
    for (const auto &[Key, Runs] : Application.Runs)
      if ((Sum[Key] += Runs) > 1)
        this->reportViolation("operation " + Key + " ran more than once");
}

void PromiseChecker::checkOrders() {
  for (auto &[Name, Engine] : this->Deployment.engines()) {
    LogOffset Highest = 0;
    for (const ReceivedOrder &Order : Engine.Orders) {
      if (Order.TookEffect && Order.Fencing < Highest)
        this->reportViolation(Name +
                              " executed an order with an old fencing number");
      Highest = std::max(Highest, Order.Fencing);
    }
  }
}

bool PromiseChecker::isHealthy(const VirtualHost &Host) const {
  // A host finds its peers by the host list. Without the log, a host that has
  // missed a change can't learn of it and must admit no requests.
  return Host.isRunning() && !Host.isFrozen() && !this->Deployment.log().Down &&
         this->Deployment.canLearnFrom(Host.name(), "log") &&
         this->Deployment.isConnected(Host.name(), "hostlist");
}

void PromiseChecker::checkCatalogue(VirtualHost &Host) {
  HostObservation &Before = this->ObservedHosts[Host.name()];
  const Time Now = this->Deployment.now();
  if (!this->isHealthy(Host) || Before.Life != Host.life())
    Before.HealthySince = Now;
  if (!Host.isRunning())
    return;
  const auto &View = Host.kernel().services().get<CatalogueView>();
  const LogOffset Offset = View.catalogue().offset();
  if (Before.Life == Host.life() && Offset < Before.InForce)
    this->reportViolation(Host.name() + " went back to an older catalogue");
  if (!View.isReady() || Before.Life != Host.life()) {
    Before.Life = Host.life();
    Before.InForce = Offset;
    return;
  }
  if (Offset != Before.InForce) {
    const auto &Entries = View.catalogue().entries();
    if (this->EntriesByOffset.emplace(Offset, Entries).first->second != Entries)
      this->reportViolation(
          Host.name() +
          " builds a different catalogue from the log than another host");
  }
  Before.InForce = Offset;
  // A host that can't learn of a change must detect this and admit no requests.
  const bool MayAdmit = !Host.isFrozen() && View.isCurrent(Now) &&
                        Host.thawedAt() + MaxPropagationTime < Now;
  for (const AcceptedChange &Change : this->AcceptedChanges)
    if ((MayAdmit ? Change.At : std::max(Change.At, Before.HealthySince)) +
                MaxPropagationTime <
            Now &&
        Offset < Change.Offset)
      this->reportViolation(
          fmt::format("{} does not apply the accepted change at offset {}",
                      Host.name(), Change.Offset));
}

void PromiseChecker::checkIdle() {
  this->check();
  for (const CallerRecord &Record : this->Deployment.callers())
    if (Record.isOpen() && !Record.Disconnected)
      this->reportViolation(label(Record) + " never ended");
  for (auto &[Name, Engine] : this->Deployment.engines())
    if (Engine.Alive && Engine.Model.heldTokens() != 0)
      this->reportViolation(fmt::format("{} still holds memory for {} tokens",
                                        Name, Engine.Model.heldTokens()));
}

} // namespace banyanpick
