/// \file
/// Runs a scenario and collects its failures.
#pragma once

#include "harness/PromiseChecker.h"
#include "harness/Scenario.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace banyanpick {

/// Runs the scenario of one text in a virtual deployment. Throws
/// Error(BadInput) when the text is malformed.
class ScenarioRunner {
public:
  explicit ScenarioRunner(std::string_view Text);

  /// Runs all statements, clears the network, log and freeze faults, lets the
  /// deployment settle and checks its guarantees.
  void run();

  /// Returns the unmet expectations and the broken guarantees as text.
  std::vector<std::string> failures() const;
  /// Keeps the log lines of all hosts. Call before run().
  void keepTrace() { this->Tracing = true; }
  std::uint64_t kernelSteps() const { return this->Deployment->steps(); }
  const std::string &trace() const { return this->Trace; }

private:
  using Handler = void (ScenarioRunner::*)(const Statement &);
  static const std::map<std::string, Handler, std::less<>> &setupHandlers();
  static const std::map<std::string, Handler, std::less<>> &eventHandlers();

  void set(const Statement &);
  void addHosts(const Statement &);
  void addEngines(const Statement &);
  void addApplications(const Statement &);
  void addTeams(const Statement &);

  void kill(const Statement &);
  void restart(const Statement &);
  void freeze(const Statement &);
  void thaw(const Statement &);
  void stop(const Statement &);
  void leave(const Statement &);
  void cut(const Statement &);
  void heal(const Statement &);
  void delay(const Statement &);
  void log(const Statement &);
  void lose(const Statement &);
  void poison(const Statement &);
  void send(const Statement &);
  void resend(const Statement &);
  void resume(const Statement &);
  void disconnect(const Statement &);
  void apply(const Statement &);
  void expect(const Statement &);

  void begin();
  void runUntil(Time Until);
  void clearFaults();
  bool isHost(const std::string &Name) const;
  std::size_t caller(const Statement &, const std::string &Name) const;
  /// Returns the outcome of a request in the terms of `expect`.
  std::string outcomeOf(const CallerRecord &Record) const;
  /// Returns the state of the subject of an `expect` statement.
  std::string observe(const Statement &);
  std::string observeHost(const Statement &);

  struct SentChange {
    std::string Result = "pending";
    LogOffset Offset = 0;
    ChangeSet Set;
  };

  std::vector<Statement> Statements;
  DeploymentOptions Options;
  std::vector<std::string> Teams;
  std::unique_ptr<VirtualDeployment> Deployment;
  std::unique_ptr<PromiseChecker> Checker;
  std::map<std::string, std::size_t> CallersByName;
  std::map<std::string, SentChange> Changes;
  std::vector<std::string> UnmetExpectations;
  std::string Trace;
  bool Tracing = false;
  Time StartTime{};
};

} // namespace banyanpick
