#include "soak/FaultInjector.h"

#include "base/Visitor.h"
#include "platform/WireNames.h"

#include <csignal>
#include <fmt/format.h>

namespace banyanpick::soak {

void FaultInjector::begin(const Disruption &What) {
  match(
      What,
      [&](const HostStopped &Is) {
        if (this->DownHosts.contains(Is.Host))
          return;
        this->Stopping.insert(Is.Host);
        this->DownHosts.insert(Is.Host);
        this->Deployed.host(Is.Host).Process->signal(SIGTERM);
      },
      [&](const HostKilled &Is) {
        this->Stopping.erase(Is.Host);
        this->DownHosts.insert(Is.Host);
        this->Deployed.host(Is.Host).Process->kill();
      },
      [&](const HostPaused &Is) {
        this->Deployed.host(Is.Host).Process->signal(SIGSTOP);
      },
      [&](const UpstreamKilled &Is) {
        auto &Of = this->Deployed.upstream(Is.Upstream);
        if (!this->DownUpstreams.insert(Is.Upstream).second)
          return;
        Of.Process->kill();
        this->Orders.add([this, Id = Of.Id] { this->Deployed.unregister(Id); });
      },
      [&](const UpstreamPaused &Is) {
        this->Deployed.upstream(Is.Upstream).Process->signal(SIGSTOP);
      },
      [&](const StoreRefuses &) {
        this->Orders.add(
            [this] { this->Deployed.control("/standin/down?On=1"); });
      },
      [&](const StorePaused &) { this->Deployed.store().signal(SIGSTOP); },
      [&](const StoreForgets &) {
        for (const auto Topic :
             {platform::topic::Declarations, platform::topic::Engines})
          this->Orders.add([this, Topic] {
            this->Deployed.control(
                fmt::format("/standin/compact?Topic={}", Topic));
          });
      },
      [&](const StoreLinkFails &Is) {
        this->Links.Stores[Is.Host]->set(Is.Fault);
      },
      [&](const UpstreamLinkFails &Is) {
        this->Links.Upstreams[Is.Upstream]->set(Is.Fault);
      },
      [&](const CallerLinkFails &Is) {
        this->Links.Callers[Is.Host]->set(Is.Fault);
      },
      [&](const ConfigurationChanged &Is) { this->configure(Is.WithExtra); });
}

bool FaultInjector::end(const Disruption &What) {
  return match(
      What,
      [&](const HostStopped &Is) {
        auto &Host = this->Deployed.host(Is.Host);
        if (!this->DownHosts.contains(Is.Host))
          return true;
        if (Host.Process->isAlive())
          return false;
        if (this->Stopping.erase(Is.Host) > 0 && Host.Process->wait() != 0)
          this->Wrong.push_back(
              fmt::format("host {} ended with code {} after a planned stop",
                          Is.Host, Host.Process->wait()));
        this->DownHosts.erase(Is.Host);
        this->Deployed.startHost(Host);
        return true;
      },
      [&](const HostKilled &Is) {
        auto &Host = this->Deployed.host(Is.Host);
        if (this->DownHosts.contains(Is.Host) && !Host.Process->isAlive()) {
          this->DownHosts.erase(Is.Host);
          this->Deployed.startHost(Host);
        }
        return true;
      },
      [&](const HostPaused &Is) {
        this->Deployed.host(Is.Host).Process->signal(SIGCONT);
        return true;
      },
      [&](const UpstreamKilled &Is) {
        if (this->DownUpstreams.erase(Is.Upstream) > 0)
          this->Deployed.replaceUpstream(this->Deployed.upstream(Is.Upstream));
        return true;
      },
      [&](const UpstreamPaused &Is) {
        this->Deployed.upstream(Is.Upstream).Process->signal(SIGCONT);
        return true;
      },
      [&](const StoreRefuses &) {
        this->Orders.add(
            [this] { this->Deployed.control("/standin/down?On=0"); });
        return true;
      },
      [&](const StorePaused &) {
        this->Deployed.store().signal(SIGCONT);
        return true;
      },
      [&](const StoreLinkFails &Is) {
        this->Links.Stores[Is.Host]->set(SoundLink());
        return true;
      },
      [&](const UpstreamLinkFails &Is) {
        this->Links.Upstreams[Is.Upstream]->set(SoundLink());
        return true;
      },
      [&](const CallerLinkFails &Is) {
        this->Links.Callers[Is.Host]->set(SoundLink());
        return true;
      },
      [](const auto &) { return true; });
}

void FaultInjector::configure(bool Extra) {
  this->Orders.add([this, Version = ++this->Version, Extra] {
    this->Deployed.configure(Version, Extra);
  });
}

void FaultInjector::lookForOwnEnds(std::vector<std::string> &Violations) {
  for (std::size_t Index = 0; Index < this->Deployed.hosts(); ++Index)
    if (!this->DownHosts.contains(Index) &&
        !this->Deployed.host(Index).Process->isAlive())
      Violations.push_back(fmt::format("host {} ended by itself", Index));
  Violations.insert(Violations.end(), this->Wrong.begin(), this->Wrong.end());
  this->Wrong.clear();
}

} // namespace banyanpick::soak
