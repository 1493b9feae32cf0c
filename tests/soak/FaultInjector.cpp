#include "soak/FaultInjector.h"

#include "base/Visitor.h"
#include "platform/WireNames.h"

#include <csignal>
#include <fmt/format.h>

namespace banyanpick::soak {

void FaultInjector::inject(const Disruption &Fault) {
  match(
      Fault,
      [&](const HostStopped &Failure) {
        if (this->DownHosts.contains(Failure.Host))
          return;
        this->Stopping.insert(Failure.Host);
        this->DownHosts.insert(Failure.Host);
        this->Gateway.host(Failure.Host).Process->signal(SIGTERM);
      },
      [&](const HostReloaded &Failure) {
        this->Gateway.host(Failure.Host).Process->signal(SIGHUP);
      },
      [&](const HostKilled &Kill) {
        this->Stopping.erase(Kill.Host);
        this->DownHosts.insert(Kill.Host);
        this->Gateway.host(Kill.Host).Process->kill();
      },
      [&](const HostPaused &Failure) {
        this->Gateway.host(Failure.Host).Process->signal(SIGSTOP);
      },
      [&](const UpstreamKilled &Kill) {
        auto &Killed = this->Gateway.upstream(Kill.Upstream);
        if (!this->DownUpstreams.insert(Kill.Upstream).second)
          return;
        Killed.Process->kill();
        this->Writes.add(
            [this, Id = Killed.Id] { this->Gateway.unregister(Id); });
      },
      [&](const UpstreamPaused &Failure) {
        this->Gateway.upstream(Failure.Upstream).Process->signal(SIGSTOP);
      },
      [&](const StoreRefusing &) {
        this->Writes.add(
            [this] { this->Gateway.control("/standin/down?On=1"); });
      },
      [&](const StorePaused &) { this->Gateway.store().signal(SIGSTOP); },
      [&](const StoreCompacted &) {
        for (const auto Topic :
             {platform::topic::Declarations, platform::topic::Engines})
          this->Writes.add([this, Topic] {
            this->Gateway.control(
                fmt::format("/standin/compact?Topic={}", Topic));
          });
      },
      [&](const StoreLinkFailed &Failure) {
        this->Links.Stores[Failure.Host]->setFault(Failure.Fault);
      },
      [&](const UpstreamLinkFailed &Failure) {
        this->Links.Upstreams[Failure.Upstream]->setFault(Failure.Fault);
      },
      [&](const CallerLinkFailed &Failure) {
        this->Links.Callers[Failure.Host]->setFault(Failure.Fault);
      },
      [&](const ConfigurationChanged &Failure) {
        this->configure(Failure.WithExtra);
      });
}

bool FaultInjector::undo(const Disruption &Fault) {
  return match(
      Fault,
      [&](const HostStopped &Failure) {
        auto &Host = this->Gateway.host(Failure.Host);
        if (!this->DownHosts.contains(Failure.Host))
          return true;
        if (Host.Process->isAlive())
          return false;
        if (this->Stopping.erase(Failure.Host) > 0 && Host.Process->wait() != 0)
          this->StopProblems.push_back(
              fmt::format("host {} ended with code {} after a planned stop",
                          Failure.Host, Host.Process->wait()));
        this->DownHosts.erase(Failure.Host);
        this->Gateway.startHost(Host);
        return true;
      },
      [&](const HostKilled &Kill) {
        auto &Host = this->Gateway.host(Kill.Host);
        if (this->DownHosts.contains(Kill.Host) && !Host.Process->isAlive()) {
          this->DownHosts.erase(Kill.Host);
          this->Gateway.startHost(Host);
        }
        return true;
      },
      [&](const HostPaused &Failure) {
        this->Gateway.host(Failure.Host).Process->signal(SIGCONT);
        return true;
      },
      [&](const UpstreamKilled &Kill) {
        if (this->DownUpstreams.erase(Kill.Upstream) > 0)
          this->Gateway.replaceUpstream(this->Gateway.upstream(Kill.Upstream));
        return true;
      },
      [&](const UpstreamPaused &Failure) {
        this->Gateway.upstream(Failure.Upstream).Process->signal(SIGCONT);
        return true;
      },
      [&](const StoreRefusing &) {
        this->Writes.add(
            [this] { this->Gateway.control("/standin/down?On=0"); });
        return true;
      },
      [&](const StorePaused &) {
        this->Gateway.store().signal(SIGCONT);
        return true;
      },
      [&](const StoreLinkFailed &Failure) {
        this->Links.Stores[Failure.Host]->setFault(HealthyLink());
        return true;
      },
      [&](const UpstreamLinkFailed &Failure) {
        this->Links.Upstreams[Failure.Upstream]->setFault(HealthyLink());
        return true;
      },
      [&](const CallerLinkFailed &Failure) {
        this->Links.Callers[Failure.Host]->setFault(HealthyLink());
        return true;
      },
      [](const auto &) { return true; });
}

void FaultInjector::configure(bool Extra) {
  this->Writes.add([this, Version = ++this->Version, Extra] {
    this->Gateway.configure(Version, Extra);
  });
}

void FaultInjector::checkUnexpectedExits(std::vector<std::string> &Violations) {
  for (std::size_t Index = 0; Index < this->Gateway.hosts(); ++Index)
    if (!this->DownHosts.contains(Index) &&
        !this->Gateway.host(Index).Process->isAlive())
      Violations.push_back(
          fmt::format("host {} ended without an injected fault", Index));
  Violations.insert(Violations.end(), this->StopProblems.begin(),
                    this->StopProblems.end());
  this->StopProblems.clear();
}

} // namespace banyanpick::soak
