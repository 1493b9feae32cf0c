/// \file
/// A deployment of processes on loopback: three entry hosts, three engines, an
/// application service and the platform. The demo catalogue is in force.
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
  std::string Address; ///< Address for calls.
  std::string Peers;   ///< Address for peers; only entry hosts.
  std::unique_ptr<ChildProcess> Process;
};

/// Starts and stops the processes of a deployment.
class Deployment {
public:
  static constexpr std::size_t HostCount = 3;
  static constexpr std::size_t EngineCount = 3;

  /// Starts all processes and waits until the catalogue is in force. Throws
  /// std::runtime_error if a process does not answer.
  Deployment();
  ~Deployment();

  Member &host(std::size_t Index) { return this->Hosts.at(Index); }
  Member &engine(std::size_t Index) { return this->Engines.at(Index); }

  /// Returns a resolver that asks \p First and then the other hosts.
  standins::Resolver resolver(std::size_t First = 0) const;
  /// Returns the first team of the catalogue with its key.
  static standins::CallerTeam team();

  /// Sets the faults of the log: `{"down", "lose_answers", "delay_ms"}`.
  void setLogFaults(const nlohmann::json &Faults) const;
  /// Returns how often the application ran the operation \p Key.
  std::uint64_t runCount(const std::string &Key) const;
  /// Waits until an engine runs a request and returns the engine. Throws
  /// std::runtime_error after a timeout.
  Member &busyEngine();

  /// Sends one confirmation to one host, without retry.
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

/// Returns a loopback address with a free port that was not returned before.
std::string freeAddress();

/// Polls until \p Condition returns true. Returns false if that does not happen
/// within 30 s.
bool eventually(const std::function<bool()> &Condition);

} // namespace banyanpick::process
