/// \file
/// A deployment of gateway hosts, a store and upstreams as processes on
/// loopback.
#pragma once

#include "process/ChildProcess.h"
#include "standins/HttpClient.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace banyanpick::process {

/// Maps the address of a process to the address under which another process
/// reaches it. Tests use it to insert proxies.
struct GatewayLinks {
  std::function<std::string(std::size_t Host, const std::string &Store)>
      ToStore = [](std::size_t, const std::string &At) { return At; };
  std::function<std::string(std::size_t Upstream, const std::string &At)>
      ToUpstream = [](std::size_t, const std::string &At) { return At; };
};

/// Starts and stops hosts in front of the upstreams that a test names.
class GatewayDeployment {
public:
  struct Host {
    std::string Name;
    std::string Callers;
    std::string Directory;
    std::string Readiness;
    std::string Metrics;
    std::string Peers;
    std::string Store; ///< Address under which the host reaches the store.
    std::unique_ptr<ChildProcess> Process;
  };
  struct Upstream {
    std::string Id;
    std::string Address;
    std::string Registered; ///< Address under which hosts reach the upstream.
    std::unique_ptr<ChildProcess> Process;
  };
  /// The fault of one upstream of the only service; see standin_upstream.
  using Fault = std::string;

  /// Starts all processes and waits until each host is ready.
  explicit GatewayDeployment(const std::vector<Fault> &Faults,
                             std::size_t HostCount = 2,
                             const GatewayLinks &Links = {});
  ~GatewayDeployment();

  std::size_t hosts() const { return this->Hosts.size(); }
  std::size_t upstreams() const { return this->Upstreams.size(); }
  ChildProcess &store() { return *this->StoreProcess; }

  /// Starts the process of the host at the same addresses. Only
  /// the first one may use the constant part of the retry budget at once.
  void startHost(Host &Target);
  /// Kills all hosts and starts them at the same addresses. Does not wait until
  /// they are ready.
  void restartAllHosts();
  /// Starts another upstream with a new id at the same address.
  void replaceUpstream(Upstream &Target);
  /// Removes the upstream from the registry.
  void unregister(const std::string &Id) const;

  /// Returns how often each attempt ran, including runs on removed upstreams.
  std::map<std::string, int> recordedRuns() const;
  /// Keeps the output of the processes and returns the path of the folder.
  std::string keepLogs();

  Host &host(std::size_t Index) { return this->Hosts.at(Index); }
  Upstream &upstream(std::size_t Index) { return this->Upstreams.at(Index); }

  /// Sends one request for \p Path to a host.
  standins::HttpReply
  ask(std::size_t Host, const std::string &Path, const std::string &Attempt,
      const std::string &Body = "hello",
      std::vector<standins::HttpHeader> ExtraHeaders = {}) const;
  /// Returns how often the running upstreams ran the caller's attempt.
  int runCount(const std::string &Attempt) const;
  bool anyUpstreamReceivedAKey() const;
  /// The requests that reached an upstream with the fault `limit` since its
  /// first answer that named the limit.
  struct ArrivalsUnderLimit {
    struct Arrival {
      std::chrono::steady_clock::time_point ReceivedAt;
      std::string Attempt;
    };
    std::chrono::steady_clock::time_point LimitNamedAt;
    std::vector<Arrival> Requests;
  };
  ArrivalsUnderLimit arrivalsUnderLimit(std::size_t Upstream) const;
  /// Returns when requests reached an upstream, by the id of the attempt.
  std::map<std::string, std::chrono::steady_clock::time_point>
  arrivalTimes(std::size_t Upstream) const;
  unsigned readiness(std::size_t Host) const;
  /// Returns the hosts that the directory of a host names, or nothing if it
  /// does not answer within \p Timeout.
  std::vector<std::string> directory(std::size_t Host,
                                     Duration Timeout = seconds(10)) const;
  /// Writes \p Version of the configuration, with or without the route
  /// `/extra/`. Larger bodies than \p MaxBodyBytes are refused.
  void configure(std::uint64_t Version, bool WithExtra = false,
                 std::size_t MaxBodyBytes = 64ULL * 1024) const;
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value) const;
  void control(const std::string &Target) const;

private:
  /// Returns the requests that the upstream recorded, or null if it does not
  /// answer.
  nlohmann::json requestRecord(std::size_t Upstream) const;
  void startUpstream(Upstream &Target, const Fault &Behavior);
  std::string settingsOf(const Host &ForHost) const;
  std::unique_ptr<ChildProcess> start(const std::string &Name,
                                      const std::string &Program,
                                      std::vector<std::string> Flags) const;

  std::string Folder;
  bool KeepFolder = false;
  std::size_t Replacements = 0;
  std::string Store;
  std::unique_ptr<ChildProcess> StoreProcess;
  std::vector<Host> Hosts;
  std::vector<Upstream> Upstreams;
};

} // namespace banyanpick::process
