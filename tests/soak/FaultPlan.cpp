#include "soak/FaultPlan.h"

#include "base/Visitor.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>

namespace banyanpick::soak {

namespace {

std::string describe(const LinkFault &Fault) {
  return match(
      Fault, [](const HealthyLink &) { return std::string("sound"); },
      [](const DelayedLink &Link) {
        return fmt::format("delayed by {} us", Link.Delay.count());
      },
      [](const ResettingLink &) { return std::string("reset"); },
      [](const SilentLink &Link) {
        return fmt::format("silent{}{}", Link.ToServer ? " to the server" : "",
                           Link.ToClient ? " to the client" : "");
      });
}

/// Draws random faults, times and durations.
class FaultGenerator {
public:
  FaultGenerator(std::uint64_t Seed, std::size_t Hosts, std::size_t Upstreams)
      : Rng(Seed), Hosts(Hosts), Upstreams(Upstreams) {}

  Duration between(milliseconds Min, milliseconds Max) {
    return milliseconds(std::uniform_int_distribution<milliseconds::rep>(
        Min.count(), Max.count())(this->Rng));
  }
  std::size_t below(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(this->Rng);
  }

  /// Returns planned work or a failure of the store. None of them excuses a
  /// host that does not answer.
  Disruption plannedWork() {
    switch (this->below(8)) {
    case 0:
      return HostReloaded{this->below(this->Hosts)};
    case 1:
      return ConfigurationChanged{this->below(2) == 0};
    case 2:
      return StoreRefusing{};
    default:
      return HostStopped{this->below(this->Hosts)};
    }
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
      return StoreRefusing{};
    case 6:
      return StorePaused{};
    case 7:
      return StoreCompacted{};
    case 8:
      return StoreLinkFailed{this->below(this->Hosts), this->linkFault()};
    case 9:
      return UpstreamLinkFailed{this->below(this->Upstreams),
                                this->linkFault()};
    case 10:
      return CallerLinkFailed{this->below(this->Hosts), this->linkFault()};
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

  std::mt19937_64 Rng;
  std::size_t Hosts;
  std::size_t Upstreams;
};

} // namespace

std::string describe(const Disruption &Fault) {
  return match(
      Fault,
      [](const HostStopped &Failure) {
        return fmt::format("stop host {}", Failure.Host);
      },
      [](const HostReloaded &Failure) {
        return fmt::format("reload settings of host {}", Failure.Host);
      },
      [](const HostKilled &Failure) {
        return fmt::format("kill host {}", Failure.Host);
      },
      [](const HostPaused &Failure) {
        return fmt::format("pause host {}", Failure.Host);
      },
      [](const UpstreamKilled &Failure) {
        return fmt::format("kill upstream {}", Failure.Upstream);
      },
      [](const UpstreamPaused &Failure) {
        return fmt::format("pause upstream {}", Failure.Upstream);
      },
      [](const StoreRefusing &) {
        return std::string("store refuses requests");
      },
      [](const StorePaused &) { return std::string("pause store"); },
      [](const StoreCompacted &) { return std::string("compact store"); },
      [](const StoreLinkFailed &Failure) {
        return fmt::format("link from host {} to the store {}", Failure.Host,
                           describe(Failure.Fault));
      },
      [](const UpstreamLinkFailed &Failure) {
        return fmt::format("link to upstream {} {}", Failure.Upstream,
                           describe(Failure.Fault));
      },
      [](const CallerLinkFailed &Failure) {
        return fmt::format("link to host {} {}", Failure.Host,
                           describe(Failure.Fault));
      },
      [](const ConfigurationChanged &Failure) {
        return fmt::format("configuration {} the extra route",
                           Failure.WithExtra ? "with" : "without");
      });
}

bool mayBreakRequests(const Disruption &Fault, std::size_t Host,
                      bool IsStream) {
  return match(
      Fault, [&](const HostKilled &Failure) { return Failure.Host == Host; },
      [&](const HostPaused &Failure) { return Failure.Host == Host; },
      [&](const CallerLinkFailed &Failure) { return Failure.Host == Host; },
      [&](const UpstreamKilled &) { return IsStream; },
      [&](const UpstreamPaused &) { return IsStream; },
      [&](const UpstreamLinkFailed &) { return IsStream; },
      [](const auto &) { return false; });
}

std::vector<PlannedFault> planFaults(std::uint64_t Seed, Duration Length,
                                     std::size_t Hosts, std::size_t Upstreams) {
  /// Longest fault. The last one ends early enough to observe the recovery.
  constexpr milliseconds MaxLength(2500);
  constexpr std::size_t MaxBurst = 4;
  const bool OnlyPlanned = Seed % 3 == 0;
  FaultGenerator Generator(Seed, Hosts, Upstreams);
  std::vector<PlannedFault> Result;
  Duration At = milliseconds(300);
  while (At + MaxLength < Length) {
    const std::size_t Count = 1 + Generator.below(MaxBurst);
    for (std::size_t Index = 0; Index < Count; ++Index)
      Result.push_back(
          {At + Generator.between(milliseconds(0), milliseconds(700)),
           Generator.between(milliseconds(100), MaxLength),
           OnlyPlanned ? Generator.plannedWork() : Generator.disruption()});
    At += Generator.between(milliseconds(200), milliseconds(3000));
  }
  std::ranges::sort(Result, {}, &PlannedFault::StartAt);
  return Result;
}

} // namespace banyanpick::soak
