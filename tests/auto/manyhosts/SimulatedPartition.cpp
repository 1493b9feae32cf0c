/// \file
/// Models hosts that have lost their links to all engines.
#include "auto/manyhosts/HostSimulation.h"

namespace banyanpick {

namespace {

constexpr milliseconds RoundTrip(5);
constexpr milliseconds ConnectTimeout(400);
constexpr milliseconds ReportTimeout(500);

} // namespace

void HostSimulation::setCutOff(std::size_t Host, std::optional<LinkLoss> How) {
  if (How)
    this->CutOff[Host] = *How;
  else
    this->CutOff.erase(Host);
  if (How != LinkLoss::Reset)
    return;
  for (auto &[Engine, Requests] : this->RunningByEngine)
    for (const RunningRequest &Running : Requests)
      if (Running.Host == Host)
        this->breakAttempt(Running);
}

std::optional<HostSimulation::LostAttempt>
HostSimulation::lostAttempt(std::size_t Index,
                            const DispatchRelay &Dispatch) const {
  const auto Loss = this->CutOff.find(Index);
  if (Loss == this->CutOff.end())
    return std::nullopt;
  const bool Hangs = Loss->second == LinkLoss::Hang;
  // A kept connection was closed by the cut, or loses the request.
  if (!Dispatch.Fresh && Loss->second == LinkLoss::Reset &&
      Dispatch.Attempt.Sequence % 2 == 0)
    return LostAttempt{RelayBroken{}, RoundTrip};
  return LostAttempt{RelayNeverSent{Hangs ? RelayNeverSent::Why::NotConnected
                                          : RelayNeverSent::Why::Refused},
                     Hangs ? Duration(ConnectTimeout) : Duration(RoundTrip)};
}

bool HostSimulation::failReport(std::size_t Index, const UpstreamId &Engine) {
  const auto Loss = this->CutOff.find(Index);
  if (Loss == this->CutOff.end())
    return false;
  const bool Refused = Loss->second != LinkLoss::Hang;
  this->Queue.after(
      Refused ? Duration(RoundTrip) : Duration(ReportTimeout),
      [this, Index, Engine, Refused, Life = this->Hosts[Index].Life] {
        this->send(Index, Life,
                   GatewayEvent(EngineReportFailed{Engine, Refused}));
      });
  return true;
}

void HostSimulation::noteServed(std::size_t Host, const Caller &Origin) {
  if (!Origin.ForwardedBy) {
    this->Current.FirstServed[Host] += Origin.HasRetried ? 0 : 1;
    this->Current.SharingServed += Origin.isHarmlessFirstTry() ? 1 : 0;
    return;
  }
  const Caller::Forwarder &By = *Origin.ForwardedBy;
  const auto Found = this->Callers.find({By.Host, By.Request});
  if (Found == this->Callers.end())
    return;
  Found->second.IsAnswered = true;
  this->noteServed(By.Host, Found->second);
  this->send(By.Host, By.Life, GatewayEvent(RelayBegan{By.Attempt}));
}

void HostSimulation::forward(std::size_t Index, const DispatchRelay &Dispatch) {
  const std::uint64_t Life = this->Hosts[Index].Life;
  const auto Target =
      std::ranges::find(this->Hosts, Dispatch.At,
                        [](const Host &Listed) { return Listed.Self.Callers; });
  const auto To = static_cast<std::size_t>(Target - this->Hosts.begin());
  const auto Found = this->Callers.find({Index, Dispatch.Request});
  const bool Arrives = To < this->Hosts.size() && this->isRunning(To) &&
                       !this->Partitioned.contains(To) &&
                       !this->Partitioned.contains(Index);
  if (Found == this->Callers.end() || !Arrives) {
    this->Queue.after(RoundTrip, [this, Index, Life, Id = Dispatch.Attempt] {
      this->send(Index, Life, GatewayEvent(RelayEnded{Id, RelayNeverSent{}}));
    });
    return;
  }
  Caller Forwarded = Found->second;
  Forwarded.ForwardedBy =
      Caller::Forwarder{Index, Life, Dispatch.Attempt, Dispatch.Request};
  const RequestId Id(++this->Requests);
  this->Callers[{To, Id}] = Forwarded;
  this->Forwards[Dispatch.Attempt] = {To, Id};
  RelayHead Head = this->headOf(Id, Forwarded);
  Head.IsForwarded = true;
  this->Queue.after(RoundTrip, [this, To, Head] {
    this->send(To, this->Hosts[To].Life, GatewayEvent(RelayArrived{Head}));
  });
}

bool HostSimulation::endForward(std::size_t Host, const RequestId &Id,
                                const RelayOutcome &Outcome) {
  const auto Found = this->Callers.find({Host, Id});
  if (Found == this->Callers.end() || !Found->second.ForwardedBy)
    return false;
  const Caller::Forwarder By = *Found->second.ForwardedBy;
  this->Callers.erase(Found);
  this->Forwards.erase(By.Attempt);
  if (std::holds_alternative<RelayDelivered>(Outcome))
    this->Callers.erase({By.Host, By.Request});
  this->Queue.after(RoundTrip, [this, By, Outcome] {
    this->send(By.Host, By.Life, GatewayEvent(RelayEnded{By.Attempt, Outcome}));
  });
  return true;
}

void HostSimulation::cancelForward(const AttemptId &Attempt) {
  const auto Found = this->Forwards.find(Attempt);
  if (Found == this->Forwards.end())
    return;
  const auto [Host, Id] = Found->second;
  this->Forwards.erase(Found);
  this->Callers.erase({Host, Id});
  this->send(Host, this->Hosts[Host].Life, CallerDisconnected{Id});
}

} // namespace banyanpick
