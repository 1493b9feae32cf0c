/// \file
/// Three entry hosts, three engines, an application service and the platform,
/// as processes on loopback, with the demonstration's catalogue in force.
#pragma once

#include "process/ChildProcess.h"
#include "standins/Caller.h"
#include "standins/HttpClient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace banyanpick::process {

/// One process of the deployment.
struct Member {
  std::string Name;
  std::string Address; ///< Where it is asked.
  std::string Peers;   ///< Entry hosts only.
  std::unique_ptr<ChildProcess> Process;
};

class Deployment {
public:
  static constexpr std::size_t HostCount = 3;
  static constexpr std::size_t EngineCount = 3;

  /// Starts everything and waits until the catalogue is in force.
  Deployment();
  ~Deployment();

  Member &host(std::size_t Index) { return this->Hosts.at(Index); }
  Member &engine(std::size_t Index) { return this->Engines.at(Index); }

  /// Callers with this resolver ask \p First and then the other hosts.
  standins::Resolver resolver(std::size_t First = 0) const;
  /// A caller of the first team.
  static standins::CallerTeam team();

  /// Sets the faults of the log, `{"down", "lose_answers", "delay_ms"}`.
  void setLogFaults(const nlohmann::json &Faults) const;
  /// How often the application ran the operation.
  std::uint64_t runCount(const std::string &Key) const;
  /// The engine that runs something now; waits until there is one.
  Member &busyEngine();

  /// Asks one host for a confirmation, once.
  standins::HttpReply sendConfirmation(std::size_t Host,
                                       const std::string &Key) const;

private:
  void start(Member &Started, const std::string &Program,
             std::vector<std::string> Flags);
  std::string settingsOf(std::size_t Index) const;
  std::string writeFile(const std::string &Name, const std::string &Text) const;
  nlohmann::json hostList() const;
  void apply(const std::string &Key);

  std::string Directory;
  Member Platform{"platform", "", "", nullptr};
  Member Application{"application", "", "", nullptr};
  std::vector<Member> Hosts;
  std::vector<Member> Engines;
  std::string CurveKeys;
};

/// An address that nobody listens on, and that was not given before.
std::string freeAddress();

/// Looks until \p Holds; false when it never does within a generous time.
bool eventually(const std::function<bool()> &Condition);

} // namespace banyanpick::process
