#include "harness/PromiseChecker.h"

#include "base/Visitor.h"

#include <fmt/format.h>

namespace banyanpick {

namespace {

/// Beyond the promise: a caller's two ways and one sweep of the kernel.
constexpr Duration DeadlineSlack = milliseconds(300);
/// Everywhere within this after the operator was told "accepted".
constexpr Duration InForceWithin = seconds(6);

std::string label(const CallerRecord &Of) {
  return fmt::format("request {} of class {} at {}", Of.Name,
                     Of.Head.Class.Value, Of.Host);
}

} // namespace

void PromiseChecker::report(const std::string &What) {
  if (this->Reported.insert(What).second)
    this->World.violation(What);
}

void PromiseChecker::noteAccepted(LogOffset Offset) {
  this->Promised.push_back({Offset, this->World.now()});
}

void PromiseChecker::check() {
  auto &Callers = this->World.callers();
  for (std::size_t Each = this->FirstOpen; Each < Callers.size(); ++Each)
    this->checkCaller(Callers[Each]);
  while (this->FirstOpen < Callers.size() && !Callers[this->FirstOpen].isOpen())
    ++this->FirstOpen;
  this->checkRuns();
  this->checkOrders();
  for (const auto &[Name, Host] : this->World.hosts())
    this->checkCatalogue(*Host);
}

void PromiseChecker::checkCaller(CallerRecord &Of) {
  if (Of.Gaps > 0)
    this->report(label(Of) + " got a chunk twice or with a gap");
  if (Of.Foreign > 0)
    this->report(label(Of) + " got chunks of another's answer");
  if (Of.Answer) {
    if (std::holds_alternative<NotRun>(*Of.Answer) && Of.Started > 0)
      this->report(label(Of) + " was told \"not run\" and ran");
    if (const auto *Whole = std::get_if<CompleteAnswer>(&*Of.Answer))
      this->checkWhole(Of, *Whole);
  }
  if (!Of.AcceptedAt || Of.ConnectionLost)
    return;
  const Time End = Of.EndedAt.value_or(this->World.now());
  if (End <= Of.Deadline + DeadlineSlack)
    return;
  if (Of.Excused)
    ++this->Excused;
  else
    this->report(label(Of) + " was admitted and is not final in its time");
}

void PromiseChecker::checkWhole(const CallerRecord &Of,
                                const CompleteAnswer &Answer) {
  if (Of.Head.Operation)
    return;
  if (Answer.Count != Of.Next || Of.Next != Of.Head.MaxOutputTokens)
    this->report(fmt::format("{} is called whole with {} chunks of {}",
                             label(Of), Of.Next, Of.Head.MaxOutputTokens));
}

void PromiseChecker::checkRuns() {
  std::map<std::string, std::uint32_t> Sum;
  for (const auto &[Name, Each] : this->World.applications())
    for (const auto &[Key, Runs] : Each.Runs)
      if ((Sum[Key] += Runs) > 1)
        this->report("operation " + Key + " ran more than once");
}

void PromiseChecker::checkOrders() {
  for (auto &[Name, Engine] : this->World.engines()) {
    LogOffset Highest = 0;
    for (const ReceivedOrder &Each : Engine.Orders) {
      if (Each.TookEffect && Each.Fencing < Highest)
        this->report(Name + " obeyed an order with an old fencing number");
      Highest = std::max(Highest, Each.Fencing);
    }
  }
}

bool PromiseChecker::isWell(const VirtualHost &Host) const {
  // Peers are found by the host list; without the log, who has missed a change
  // can't learn of it and must admit nothing.
  return Host.isRunning() && !Host.isFrozen() && !this->World.log().Down &&
         this->World.canKnow(Host.name(), "log") &&
         this->World.isJoined(Host.name(), "hostlist");
}

void PromiseChecker::checkCatalogue(VirtualHost &Host) {
  SeenHost &Before = this->Seen[Host.name()];
  const Time Now = this->World.now();
  if (!this->isWell(Host) || Before.Life != Host.life())
    Before.WellSince = Now;
  if (!Host.isRunning())
    return;
  const auto &View = Host.kernel().services().get<CatalogueView>();
  const LogOffset Offset = View.catalogue().offset();
  if (Before.Life == Host.life() && Offset < Before.InForce)
    this->report(Host.name() + " went back to an older catalogue");
  if (!View.isReady() || Before.Life != Host.life()) {
    Before.Life = Host.life();
    Before.InForce = Offset;
    return;
  }
  if (Offset != Before.InForce) {
    const auto &Entries = View.catalogue().entries();
    if (this->Folds.emplace(Offset, Entries).first->second != Entries)
      this->report(Host.name() + " folds the log differently from another");
  }
  Before.InForce = Offset;
  // A host that can't learn of a change must know that, and admit nothing.
  const bool Admits = !Host.isFrozen() && View.isCurrent(Now) &&
                      Host.thawedAt() + InForceWithin < Now;
  for (const Accepted &Each : this->Promised)
    if ((Admits ? Each.At : std::max(Each.At, Before.WellSince)) +
                InForceWithin <
            Now &&
        Offset < Each.Offset)
      this->report(
          fmt::format("{} has not the accepted change at offset {} in force",
                      Host.name(), Each.Offset));
}

void PromiseChecker::checkQuiet() {
  this->check();
  for (const CallerRecord &Each : this->World.callers())
    if (Each.isOpen() && !Each.HungUp)
      this->report(label(Each) + " never ended");
  for (auto &[Name, Engine] : this->World.engines())
    if (Engine.Alive && Engine.Model.heldTokens() != 0)
      this->report(fmt::format("{} still holds memory for {} tokens", Name,
                               Engine.Model.heldTokens()));
}

} // namespace banyanpick
