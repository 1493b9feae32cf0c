#include "soak/FaultPlan.h"

#include "base/Visitor.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>

namespace banyanpick::soak {

namespace {

std::string describe(const LinkFault &Fault) {
  return match(
      Fault, [](const SoundLink &) { return std::string("sound"); },
      [](const DelayedLink &Is) {
        return fmt::format("delayed by {} us", Is.By.count());
      },
      [](const ResettingLink &) { return std::string("reset"); },
      [](const SilentLink &Is) {
        return fmt::format("silent{}{}", Is.ToServer ? " to the server" : "",
                           Is.ToClient ? " to the client" : "");
      });
}

/// Draws the parts of a plan.
class Draw {
public:
  Draw(std::uint64_t Seed, std::size_t Hosts, std::size_t Upstreams)
      : Numbers(Seed), Hosts(Hosts), Upstreams(Upstreams) {}

  Duration between(milliseconds Least, milliseconds Most) {
    return milliseconds(std::uniform_int_distribution<milliseconds::rep>(
        Least.count(), Most.count())(this->Numbers));
  }
  std::size_t below(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      Count - 1)(this->Numbers);
  }

  Disruption disruption() {
    switch (this->below(12)) {
    case 0:
      return HostStopped{this->below(this->Hosts)};
    case 1:
      return HostKilled{this->below(this->Hosts)};
    case 2:
      return HostPaused{this->below(this->Hosts)};
    case 3:
      return UpstreamKilled{this->below(this->Upstreams)};
    case 4:
      return UpstreamPaused{this->below(this->Upstreams)};
    case 5:
      return StoreRefuses{};
    case 6:
      return StorePaused{};
    case 7:
      return StoreForgets{};
    case 8:
      return StoreLinkFails{this->below(this->Hosts), this->linkFault()};
    case 9:
      return UpstreamLinkFails{this->below(this->Upstreams), this->linkFault()};
    case 10:
      return CallerLinkFails{this->below(this->Hosts), this->linkFault()};
    default:
      return ConfigurationChanged{this->below(2) == 0};
    }
  }

private:
  LinkFault linkFault() {
    switch (this->below(5)) {
    case 0:
      return DelayedLink{this->between(milliseconds(5), milliseconds(300))};
    case 1:
      return ResettingLink{};
    case 2:
      return SilentLink{true, false};
    case 3:
      return SilentLink{false, true};
    default:
      return SilentLink{true, true};
    }
  }

  std::mt19937_64 Numbers;
  std::size_t Hosts;
  std::size_t Upstreams;
};

} // namespace

std::string describe(const Disruption &What) {
  return match(
      What,
      [](const HostStopped &Is) {
        return fmt::format("stop host {}", Is.Host);
      },
      [](const HostKilled &Is) { return fmt::format("kill host {}", Is.Host); },
      [](const HostPaused &Is) {
        return fmt::format("pause host {}", Is.Host);
      },
      [](const UpstreamKilled &Is) {
        return fmt::format("kill upstream {}", Is.Upstream);
      },
      [](const UpstreamPaused &Is) {
        return fmt::format("pause upstream {}", Is.Upstream);
      },
      [](const StoreRefuses &) { return std::string("store refuses"); },
      [](const StorePaused &) { return std::string("pause store"); },
      [](const StoreForgets &) { return std::string("store forgets"); },
      [](const StoreLinkFails &Is) {
        return fmt::format("store for host {} {}", Is.Host, describe(Is.Fault));
      },
      [](const UpstreamLinkFails &Is) {
        return fmt::format("way to upstream {} {}", Is.Upstream,
                           describe(Is.Fault));
      },
      [](const CallerLinkFails &Is) {
        return fmt::format("way to host {} {}", Is.Host, describe(Is.Fault));
      },
      [](const ConfigurationChanged &Is) {
        return fmt::format("configuration {} the extra route",
                           Is.WithExtra ? "with" : "without");
      });
}

bool mayBreakRequests(const Disruption &What, std::size_t Host, bool IsStream) {
  return match(
      What, [&](const HostKilled &Is) { return Is.Host == Host; },
      [&](const HostPaused &Is) { return Is.Host == Host; },
      [&](const CallerLinkFails &Is) { return Is.Host == Host; },
      [&](const UpstreamKilled &) { return IsStream; },
      [&](const UpstreamPaused &) { return IsStream; },
      [&](const UpstreamLinkFails &) { return IsStream; },
      [](const auto &) { return false; });
}

std::vector<PlannedFault> planFaults(std::uint64_t Seed, Duration Length,
                                     std::size_t Hosts, std::size_t Upstreams) {
  /// The last fault's end leaves time to see the recovery.
  constexpr milliseconds Longest(2500);
  constexpr std::size_t MostInBurst = 4;
  Draw Of(Seed, Hosts, Upstreams);
  std::vector<PlannedFault> Result;
  Duration At = milliseconds(300);
  while (At + Longest < Length) {
    const std::size_t Count = 1 + Of.below(MostInBurst);
    for (std::size_t Each = 0; Each < Count; ++Each)
      Result.push_back({At + Of.between(milliseconds(0), milliseconds(700)),
                        Of.between(milliseconds(100), Longest),
                        Of.disruption()});
    At += Of.between(milliseconds(200), milliseconds(3000));
  }
  std::ranges::sort(Result, {}, &PlannedFault::At);
  return Result;
}

} // namespace banyanpick::soak
