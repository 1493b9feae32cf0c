/// \file
/// Stops, kills and restarts simulated hosts, and reports the load of engines.
#include "auto/manyhosts/HostSimulation.h"

namespace banyanpick {

namespace {

/// Time to the first token where prefills do not wait for each other.
constexpr milliseconds FirstEventDelay(120);
/// Time to the first token in addition to the prefills.
constexpr milliseconds PassDelay(60);
/// Interval at which engines renew their reports.
constexpr milliseconds ReportInterval(200);
constexpr milliseconds ReportDelay(4);

/// The callers of dead hosts try again within this time after the return.
constexpr milliseconds ReconnectSpread(100);

/// Time after which an engine sees that a connection is closed.
constexpr milliseconds CloseDelay(5);

} // namespace

void HostSimulation::killAll(OrphanedWork Work,
                             std::span<const std::size_t> Named) {
  this->AllKilled = true;
  this->NamedHosts.assign(Named.begin(), Named.end());
  for (std::size_t Index = 0; Index < this->Hosts.size(); ++Index)
    this->kill(Index);
  for (const auto &[Key, Origin] : this->Callers) {
    this->Stranded.push_back(Origin);
    // A stream is resumed where it broke.
    Duration &RunsFor = this->Stranded.back().RunsFor;
    if (Origin.IsAnswered)
      RunsFor = std::max<Duration>(
          RunsFor - (this->Queue.now() - Origin.FirstRequestAt),
          FirstEventDelay);
  }
  this->Callers.clear();
  if (Work == OrphanedWork::Dropped)
    this->Queue.after(CloseDelay, [this] { this->dropEngineWork(); });
}

void HostSimulation::stop(std::size_t Host) {
  this->Stopping.insert(Host);
  this->send(Host, this->Hosts[Host].Life, StopRequest{});
}

void HostSimulation::exit(std::size_t Index, std::uint64_t Life) {
  if (this->Hosts[Index].Life != Life)
    return;
  this->kill(Index);
  this->Current.CutOff += std::erase_if(this->Callers, [&](const auto &Entry) {
    return Entry.first.first == Index;
  });
}

std::size_t HostSimulation::hostForRetry(std::size_t Host) {
  if (!this->Stopping.contains(Host))
    return Host;
  std::vector<std::size_t> Others;
  for (std::size_t Other = 0; Other < this->Hosts.size(); ++Other)
    if (Other != Host && this->isRunning(Other))
      Others.push_back(Other);
  return Others.empty() ? Host : Others[this->Draws.below(Others.size())];
}

void HostSimulation::restartAll() {
  this->AllKilled = false;
  for (std::size_t Index = 0; Index < this->Hosts.size(); ++Index)
    this->restart(Index);
  for (Caller &Origin : this->Stranded) {
    Origin.HasRetried = false;
    Origin.IsAnswered = false;
    const std::size_t Host =
        this->NamedHosts[this->Draws.below(this->NamedHosts.size())];
    this->Queue.after(
        fromSeconds(inSeconds(ReconnectSpread) * this->Draws.fraction()),
        [this, Host, Origin] { this->submit(Host, Origin); });
  }
  this->Stranded.clear();
}

void HostSimulation::dropEngineWork() {
  ++this->EngineRun;
  this->BusySlots.clear();
  this->RunningByEngine.clear();
  this->Queued.clear();
  this->PrefillsUntil.clear();
}

std::vector<std::size_t> HostSimulation::engineLoads() const {
  std::vector<std::size_t> Result;
  for (const EngineRecord &Engine : this->Engines) {
    const auto Busy = this->BusySlots.find(Engine.Id);
    const auto Waiting = this->Queued.find(Engine.Id);
    Result.push_back(
        (Busy == this->BusySlots.end() ? 0 : Busy->second) +
        (Waiting == this->Queued.end() ? 0 : Waiting->second.size()));
  }
  return Result;
}

Duration HostSimulation::firstEventAfter(const UpstreamId &Engine) {
  if (this->PrefillTime == Duration(0))
    return FirstEventDelay;
  Time &Until = this->PrefillsUntil[Engine];
  Until = std::max(Until, this->Queue.now()) + this->PrefillTime;
  return Until - this->Queue.now() + PassDelay;
}

void HostSimulation::reportLoad(std::size_t Host, const UpstreamId &Engine) {
  ++this->Current.ReportRequests[Engine];
  const std::size_t Asked = this->indexOf(Engine);
  if (Asked == this->Engines.size() || this->Down.contains(Asked)) {
    this->Queue.after(ReportDelay, [this, Host, Engine,
                                    Life = this->Hosts[Host].Life] {
      this->send(Host, Life, GatewayEvent(EngineReportFailed{Engine, true}));
    });
    return;
  }
  this->Queue.after(
      ReportDelay, [this, Host, Engine, Life = this->Hosts[Host].Life] {
        this->send(Host, Life,
                   GatewayEvent(EngineReported{this->LoadReports[Engine]}));
      });
}

void HostSimulation::sampleLoads() {
  for (const EngineRecord &Engine : this->Engines) {
    EngineReport &Report = this->LoadReports[Engine.Id];
    Report.Engine = Engine.Id;
    Report.Running = static_cast<std::uint32_t>(this->BusySlots[Engine.Id]);
    Report.Waiting = static_cast<std::uint32_t>(this->Queued[Engine.Id].size());
    Report.MemoryUsed = Report.Running * ShortPrompt;
  }
  this->Queue.after(ReportInterval, [this] { this->sampleLoads(); });
}

} // namespace banyanpick
