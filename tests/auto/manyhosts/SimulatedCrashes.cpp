/// \file
/// The content that crashes engines, and the engines that crash.
#include "auto/manyhosts/HostSimulation.h"

#include <algorithm>
#include <fmt/format.h>

namespace banyanpick {

namespace {

/// Time from the start of a run to the crash.
constexpr milliseconds CrashDelay(50);
/// Time for which the answer to a short prompt runs.
constexpr milliseconds AnswerTime(800);
/// Time from a crash to the start of the engine's next process.
constexpr milliseconds DownTime(1500);
/// Time from a crash just after a renewal to the end of the registration.
constexpr milliseconds RegistrationTtl(3600);

constexpr std::uint32_t MisdirectedStatus = 421;

} // namespace

void HostSimulation::sendLong(std::size_t Host, Duration RunsFor) {
  Caller Origin{this->Queue.now(), false, false, RunsFor};
  Origin.IsLong = true;
  this->submit(Host, Origin);
}

void HostSimulation::sendCrashing(std::size_t Host) {
  Caller Origin{this->Queue.now()};
  Origin.IsLong = true;
  Origin.CrashesEngines = true;
  this->submit(Host, Origin);
}

void HostSimulation::sendPrompt(std::size_t Host,
                                std::vector<Fingerprint> Parts, bool Crashes) {
  Caller Origin{this->Queue.now(), false, false, AnswerTime};
  Origin.PromptParts = std::move(Parts);
  Origin.CrashesEngines = Crashes;
  this->submit(Host, Origin);
}

bool HostSimulation::runsOn(const UpstreamId &Engine,
                            const RunningRequest &Request) const {
  const auto Found = this->RunningByEngine.find(Engine);
  return Found != this->RunningByEngine.end() &&
         std::ranges::any_of(Found->second, [&](const RunningRequest &Other) {
           return Other.Attempt == Request.Attempt;
         });
}

void HostSimulation::crashLater(const UpstreamId &Engine,
                                const RunningRequest &Request) {
  this->Queue.after(CrashDelay, [this, Engine, Request] {
    if (!this->runsOn(Engine, Request))
      return;
    if (this->Cancelled.contains(Request.Attempt))
      this->finish(Engine, Request);
    else
      this->crash(Engine);
  });
}

void HostSimulation::crash(const UpstreamId &Engine) {
  const std::size_t Index = this->indexOf(Engine);
  this->Crashes.push_back(this->Queue.now());
  this->Down.insert(Index);
  for (const RunningRequest &Request : this->RunningByEngine[Engine])
    this->breakAttempt(Request);
  for (const RunningRequest &Request : this->Queued[Engine])
    this->breakAttempt(Request);
  this->RunningByEngine.erase(Engine);
  this->Queued.erase(Engine);
  this->Queue.after(RegistrationTtl, [this, Ended = this->Engines[Index]] {
    this->Registry.push_back({Ended, true, this->RegistryEnd++});
  });
  this->Queue.after(DownTime, [this, Index] { this->returnUnderNewId(Index); });
}

void HostSimulation::returnUnderNewId(std::size_t Engine) {
  this->Down.erase(Engine);
  this->Engines[Engine].Id =
      UpstreamId(fmt::format("n{:03}", this->Crashes.size() * 1000 + Engine));
  this->registerEngine(Engine);
}

void HostSimulation::breakAttempt(const RunningRequest &Request) {
  if (this->Cancelled.contains(Request.Attempt))
    return;
  this->send(Request.Host, Request.Life,
             GatewayEvent(RelayEnded{Request.Attempt, RelayBroken{}}));
}

void HostSimulation::storeQuarantine(const StoreQuarantine &Wanted) {
  this->Queue.after(StoreDelay, [this, Wanted] {
    if (Wanted.Present)
      this->StoredQuarantines[Wanted.Content] = {Wanted.Content,
                                                 Wanted.IsProven};
    else
      this->StoredQuarantines.erase(Wanted.Content);
  });
}

void HostSimulation::readQuarantines(std::size_t Index) {
  // A host announces itself first, and then reads.
  this->Queue.after(
      2 * StoreDelay, [this, Index, Life = this->Hosts[Index].Life] {
        std::vector<StoredQuarantine> Contents;
        for (const auto &[Content, Stored] : this->StoredQuarantines)
          Contents.push_back(Stored);
        if (!Contents.empty())
          this->send(Index, Life, GatewayEvent(QuarantinesRead{Contents}));
      });
}

std::optional<RelayOutcome>
HostSimulation::outcomeWithoutEngine(const DispatchRelay &Dispatch) const {
  const auto Found =
      std::ranges::find(this->Engines, Dispatch.At, &EngineRecord::At);
  const auto Index = static_cast<std::size_t>(Found - this->Engines.begin());
  if (this->Down.contains(Index))
    return RelayNeverSent{RelayNeverSent::Why::Refused};
  if (Found->Id == Dispatch.Engine)
    return std::nullopt;
  return RelayNotRun{true, MisdirectedStatus, std::nullopt};
}

} // namespace banyanpick
