#include "auto/gatewayrandom/GatewaySimulation.h"

namespace banyanpick {

namespace {

constexpr milliseconds MaxFaultDuration(4500);
constexpr milliseconds MaxPause(900);

} // namespace

void GatewaySimulation::scheduleNextFault(Time Until) {
  this->after(milliseconds(this->Numbers.below(1500)), [this, Until] {
    if (this->Queue.now() >= Until)
      return;
    this->injectFault();
    this->scheduleNextFault(Until);
  });
}

void GatewaySimulation::injectFault() {
  ++this->FaultCount;
  const Duration For =
      milliseconds(100 + this->Numbers.below(MaxFaultDuration.count() - 100));
  const std::size_t At = this->Numbers.below(this->Hosts.size());
  const std::size_t Which = this->Numbers.below(this->Upstreams.All.size());
  constexpr std::size_t Kinds = 9;
  // Runs without evacuations draw the same numbers as before.
  if (this->Options.Evacuations && this->Numbers.below(Kinds) < 2) {
    this->Store.evacuate(evacuatedZone(),
                         !this->Store.isEvacuated(evacuatedZone()));
    return;
  }
  switch (this->Numbers.below(Kinds)) {
  case 0:
    this->killHost(At);
    this->after(For, [this, At] {
      if (!this->Hosts[At].Decider)
        this->startHost(At);
    });
    return;
  case 1:
    this->pauseHost(At, std::min<Duration>(For, MaxPause));
    return;
  case 2:
    this->Hosts[At].CutFromStore = true;
    this->after(For, [this, At] { this->Hosts[At].CutFromStore = false; });
    return;
  case 3:
    this->cutFromPeers(At, For);
    return;
  case 4:
    this->Store.Down = true;
    this->after(For, [this] { this->Store.Down = false; });
    return;
  case 5:
    this->Store.declare();
    return;
  case 6:
    this->replaceUpstream(Which, For);
    return;
  default:
    this->Upstreams.All[Which].Behavior =
        static_cast<UpstreamBehavior>(1 + this->Numbers.below(4));
    this->after(For, [this, Which] {
      this->Upstreams.All[Which].Behavior = UpstreamBehavior::Healthy;
    });
    return;
  }
}

void GatewaySimulation::pauseHost(std::size_t At, Duration For) {
  this->Hosts[At].PausedUntil = this->Queue.now() + For;
  for (const auto &Call : this->Calls)
    if (Call->Host == At && !Call->EndedAt)
      Call->Disturbed = true;
}

void GatewaySimulation::cutFromPeers(std::size_t At, Duration For) {
  Host &Current = this->Hosts[At];
  Current.HearsPeers = this->Numbers.below(2) == 0;
  Current.ReachesPeers = !Current.HearsPeers && this->Numbers.below(2) == 0;
  this->after(For, [this, At] {
    this->Hosts[At].HearsPeers = true;
    this->Hosts[At].ReachesPeers = true;
  });
}

void GatewaySimulation::replaceUpstream(std::size_t Which, Duration For) {
  SimulatedUpstream &Upstream = this->Upstreams.All[Which];
  if (!Upstream.Up)
    return;
  Upstream.Up = false;
  ++Upstream.Life;
  this->Store.removeEngine(Upstream.Record.Id);
  this->after(For, [this, Which] {
    SimulatedUpstream &Replacement = this->Upstreams.All[Which];
    this->Upstreams.replace(Replacement);
    this->Store.registerEngine(Replacement.Record);
  });
}

} // namespace banyanpick
