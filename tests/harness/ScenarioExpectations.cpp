/// \file
/// Evaluates the `expect` statements of scenarios.
#include "base/Visitor.h"
#include "harness/ScenarioRunner.h"

#include <fmt/format.h>

namespace banyanpick {

// --- expectations

std::string ScenarioRunner::outcomeOf(const CallerRecord &Record) const {
  if (!Record.Answer)
    return Record.ConnectionLost ? "lost" : "open";
  return match(
      *Record.Answer,
      [](const CompleteAnswer &) { return std::string("whole"); },
      [](const NotRun &Outcome) {
        return "not-run " + std::string(name(Outcome.Reason));
      },
      [](const FailedAnswer &) { return std::string("failed"); },
      [](const OutcomeUnknown &) { return std::string("unknown"); },
      [](const InProgress &) { return std::string("in-progress"); });
}

std::string ScenarioRunner::observeHost(const Statement &Command) {
  VirtualHost &Host = *this->Deployment->hosts().at(Command.word(1));
  if (!Host.isRunning())
    return "gone";
  const auto &View = Host.kernel().services().get<CatalogueView>();
  if (Command.word(2) == "has") {
    const LogOffset Wanted = this->Changes[Command.word(3)].Offset;
    const bool HasChange = Wanted > 0 && View.catalogue().offset() >= Wanted;
    return HasChange ? "has " + Command.word(3) : "lacks " + Command.word(3);
  }
  if (!View.isReady())
    return "not-ready";
  return View.isCurrent(this->Deployment->now()) ? "ready" : "not-current";
}

std::string ScenarioRunner::observe(const Statement &Command) {
  const std::string &Name = Command.word(1);
  if (this->isHost(Name))
    return this->observeHost(Command);
  if (const auto Found = this->Changes.find(Name); Found != this->Changes.end())
    return Found->second.Result;
  if (const auto Found = this->Deployment->engines().find(Name);
      Found != this->Deployment->engines().end())
    return Found->second.Model.heldTokens() == 0 ? "free" : "holds-memory";
  if (Name == "runs") {
    const auto &Head =
        this->Deployment->callers()[this->caller(Command, Command.word(2))]
            .Head;
    std::uint32_t Runs = 0;
    for (const auto &[App, Application] : this->Deployment->applications()) {
      const auto RunCount = Application.Runs.find(Head.Operation->Value);
      Runs += RunCount == Application.Runs.end() ? 0 : RunCount->second;
    }
    return fmt::format("runs {} {}", Command.word(2), Runs);
  }
  if (Name == "count") {
    const auto Count = this->Deployment->counts().find(Command.word(2));
    const bool IsPositive =
        Count != this->Deployment->counts().end() && Count->second > 0;
    return fmt::format("count {} {}", Command.word(2),
                       IsPositive ? "some" : "none");
  }
  return this->outcomeOf(
      this->Deployment->callers()[this->caller(Command, Name)]);
}

void ScenarioRunner::expect(const Statement &Command) {
  // `expect NAME A | B C` allows either. An alternative matches when the
  // observed state begins with it.
  const std::string Found = this->observe(Command);
  const bool NamesSubject =
      Command.word(1) != "runs" && Command.word(1) != "count";
  std::string Wanted;
  for (const std::string &Word : Command.names(NamesSubject ? 2 : 1)) {
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
  this->UnmetExpectations.push_back(
      fmt::format("line {}: expected {} {}, found {}", Command.Line,
                  Command.word(1), Wanted, Found));
}

} // namespace banyanpick
