/// \file
/// Gateway hosts, a store and upstreams, as processes on loopback.
#pragma once

#include "process/ChildProcess.h"
#include "standins/HttpClient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace banyanpick::process {

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
    std::unique_ptr<ChildProcess> Process;
  };
  struct Upstream {
    std::string Id;
    std::string Address;
    std::unique_ptr<ChildProcess> Process;
  };
  /// How one upstream of the only service behaves; see standin_upstream.
  using Fault = std::string;

  /// Starts everything and waits until each host is ready.
  explicit GatewayDeployment(const std::vector<Fault> &Faults,
                             std::size_t HostCount = 2);
  ~GatewayDeployment();

  Host &host(std::size_t Index) { return this->Hosts.at(Index); }
  Upstream &upstream(std::size_t Index) { return this->Upstreams.at(Index); }

  /// Sends one request for the path to the host.
  standins::HttpReply ask(std::size_t Host, const std::string &Path,
                          const std::string &Attempt,
                          const std::string &Body = "hello",
                          std::vector<standins::HttpHeader> More = {}) const;
  /// Sums how often the upstreams ran the caller's attempt.
  int runsOf(const std::string &Attempt) const;
  bool anyUpstreamSawAKey() const;
  unsigned readiness(std::size_t Host) const;
  std::vector<std::string> directory(std::size_t Host) const;
  /// Writes the configuration's next version with or without `/extra/`.
  void configure(std::uint64_t Version, bool WithExtra = false) const;
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value) const;
  void control(const std::string &Target) const;

private:
  void startHost(Host &Into);
  void startUpstream(Upstream &Into, const Fault &How);
  std::string settingsOf(const Host &Of) const;
  std::unique_ptr<ChildProcess> start(const std::string &Name,
                                      const std::string &Program,
                                      std::vector<std::string> Flags) const;

  std::string Folder;
  std::string Store;
  std::unique_ptr<ChildProcess> StoreProcess;
  std::vector<Host> Hosts;
  std::vector<Upstream> Upstreams;
};

} // namespace banyanpick::process
