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
  this->Current.FirstServed[Host] += Origin.HasRetried ? 0 : 1;
}

} // namespace banyanpick
