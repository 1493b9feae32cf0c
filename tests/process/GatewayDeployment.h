/// \file
/// Gateway hosts, a store and upstreams, as processes on loopback.
#pragma once

#include "process/ChildProcess.h"
#include "standins/HttpClient.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace banyanpick::process {

/// What lies between the processes: each gives the address to use for a target.
struct GatewayLinks {
  std::function<std::string(std::size_t Host, const std::string &Store)>
      ToStore = [](std::size_t, const std::string &At) { return At; };
  std::function<std::string(std::size_t Upstream, const std::string &At)>
      ToUpstream = [](std::size_t, const std::string &At) { return At; };
};

/// Two hosts before the upstreams that a test names.
class GatewayDeployment {
public:
  struct Host {
    std::string Name;
    std::string Callers;
    std::string Directory;
    std::string Readiness;
    std::string Metrics;
    std::string Peers;
    std::string Store; ///< Where it reaches the store.
    std::unique_ptr<ChildProcess> Process;
  };
  struct Upstream {
    std::string Id;
    std::string Address;
    std::string Registered; ///< Where hosts reach it.
    std::unique_ptr<ChildProcess> Process;
  };
  /// How one upstream of the only service behaves; see standin_upstream.
  using Fault = std::string;

  /// Starts everything and waits until each host is ready.
  explicit GatewayDeployment(const std::vector<Fault> &Faults,
                             std::size_t HostCount = 2,
                             const GatewayLinks &Links = {});
  ~GatewayDeployment();

  std::size_t hosts() const { return this->Hosts.size(); }
  std::size_t upstreams() const { return this->Upstreams.size(); }
  ChildProcess &store() { return *this->StoreProcess; }

  /// Starts the host's process anew, at the same addresses.
  void startHost(Host &Target);
  /// Starts another upstream at the same address; its id is new.
  void replaceUpstream(Upstream &Target);
  /// Takes the upstream out of the registry.
  void unregister(const std::string &Id) const;

  /// How often each attempt ran, also on upstreams that are gone.
  std::map<std::string, int> recordedRuns() const;
  /// Leaves the processes' output behind; the folder's path.
  std::string keepLogs();

  Host &host(std::size_t Index) { return this->Hosts.at(Index); }
  Upstream &upstream(std::size_t Index) { return this->Upstreams.at(Index); }

  /// Sends one request for the path to the host.
  standins::HttpReply
  ask(std::size_t Host, const std::string &Path, const std::string &Attempt,
      const std::string &Body = "hello",
      std::vector<standins::HttpHeader> ExtraHeaders = {}) const;
  /// Sums how often the upstreams ran the caller's attempt.
  int runCount(const std::string &Attempt) const;
  bool anyUpstreamReceivedAKey() const;
  /// What reached an upstream with the fault `limit`, from its first answer on
  /// that named its limit.
  struct ArrivalsUnderLimit {
    struct Arrival {
      std::chrono::steady_clock::time_point ReceivedAt;
      std::string Attempt;
    };
    std::chrono::steady_clock::time_point LimitNamedAt;
    std::vector<Arrival> Requests;
  };
  ArrivalsUnderLimit arrivalsUnderLimit(std::size_t Upstream) const;
  /// When requests reached an upstream, by the attempt's id.
  std::map<std::string, std::chrono::steady_clock::time_point>
  arrivalTimes(std::size_t Upstream) const;
  unsigned readiness(std::size_t Host) const;
  /// The hosts that it names, if it does so within the limit.
  std::vector<std::string> directory(std::size_t Host,
                                     Duration Timeout = seconds(10)) const;
  /// Writes the configuration's next version with or without `/extra/`.
  void configure(std::uint64_t Version, bool WithExtra = false) const;
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value) const;
  void control(const std::string &Target) const;

private:
  /// What the upstream noted of its requests; null when it does not tell.
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
