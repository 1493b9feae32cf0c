/// \file
/// The `expect` statements of scenarios.
#include "base/Visitor.h"
#include "harness/ScenarioRunner.h"

#include <fmt/format.h>

namespace banyanpick {

// --- expectations

std::string ScenarioRunner::outcomeOf(const CallerRecord &Of) const {
  if (!Of.Answer)
    return Of.ConnectionLost ? "lost" : "open";
  return match(
      *Of.Answer, [](const CompleteAnswer &) { return std::string("whole"); },
      [](const NotRun &Is) {
        return "not-run " + std::string(name(Is.Reason));
      },
      [](const FailedAnswer &) { return std::string("failed"); },
      [](const OutcomeUnknown &) { return std::string("unknown"); },
      [](const InProgress &) { return std::string("in-progress"); });
}

std::string ScenarioRunner::foundOnHost(const Statement &Is) {
  VirtualHost &Host = *this->Deployment->hosts().at(Is.word(1));
  if (!Host.isRunning())
    return "gone";
  const auto &View = Host.kernel().services().get<CatalogueView>();
  if (Is.word(2) == "has") {
    const LogOffset Wanted = this->Changes[Is.word(3)].Offset;
    const bool Has = Wanted > 0 && View.catalogue().offset() >= Wanted;
    return Has ? "has " + Is.word(3) : "lacks " + Is.word(3);
  }
  if (!View.isReady())
    return "not-ready";
  return View.isCurrent(this->Deployment->now()) ? "ready" : "not-current";
}

std::string ScenarioRunner::found(const Statement &Is) {
  const std::string &Name = Is.word(1);
  if (this->isHost(Name))
    return this->foundOnHost(Is);
  if (const auto Found = this->Changes.find(Name); Found != this->Changes.end())
    return Found->second.Verdict;
  if (const auto Found = this->Deployment->engines().find(Name);
      Found != this->Deployment->engines().end())
    return Found->second.Model.heldTokens() == 0 ? "free" : "holds-memory";
  if (Name == "runs") {
    const auto &Head =
        this->Deployment->callers()[this->caller(Is, Is.word(2))].Head;
    std::uint32_t Runs = 0;
    for (const auto &[App, Each] : this->Deployment->applications()) {
      const auto Of = Each.Runs.find(Head.Operation->Value);
      Runs += Of == Each.Runs.end() ? 0 : Of->second;
    }
    return fmt::format("runs {} {}", Is.word(2), Runs);
  }
  if (Name == "count") {
    const auto Count = this->Deployment->counts().find(Is.word(2));
    const bool Any =
        Count != this->Deployment->counts().end() && Count->second > 0;
    return fmt::format("count {} {}", Is.word(2), Any ? "some" : "none");
  }
  return this->outcomeOf(this->Deployment->callers()[this->caller(Is, Name)]);
}

void ScenarioRunner::expect(const Statement &Is) {
  // `expect NAME A | B C` allows either; what is found may say more.
  const std::string Found = this->found(Is);
  const bool Named = Is.word(1) != "runs" && Is.word(1) != "count";
  std::string Wanted;
  for (const std::string &Word : Is.names(Named ? 2 : 1)) {
    if (Word == "|" || Word == "or") {
      if (Found.starts_with(Wanted))
        return;
      Wanted.clear();
      continue;
    }
    Wanted += (Wanted.empty() ? "" : " ") + Word;
  }
  if (!Wanted.empty() && Found.starts_with(Wanted))
    return;
  this->Unmet.push_back(fmt::format("line {}: expected {} {}, found {}",
                                    Is.Line, Is.word(1), Wanted, Found));
}

} // namespace banyanpick
