#include "auto/gatewayrandom/SimulatedUpstreams.h"

#include <algorithm>
#include <fmt/format.h>

namespace banyanpick {

namespace {

Duration between(Random &Numbers, milliseconds Min, milliseconds Max) {
  return Min + milliseconds(Numbers.below(
                   static_cast<std::uint64_t>((Max - Min).count())));
}

AttemptPlan unanswered(bool Ran) {
  AttemptPlan Result;
  Result.Ran = Ran;
  Result.Answers = false;
  return Result;
}

AttemptPlan endSoon(RelayOutcome Outcome) {
  AttemptPlan Result;
  Result.EndsAfter = milliseconds(2);
  Result.Outcome = std::move(Outcome);
  return Result;
}

} // namespace

SimulatedUpstream *SimulatedUpstreams::at(const Address &Where) {
  const auto Found = std::ranges::find_if(this->All, [&](const auto &Upstream) {
    return Upstream.Up && Upstream.Record.At == Where;
  });
  return Found == this->All.end() ? nullptr : &*Found;
}

AttemptPlan SimulatedUpstreams::planAttempt(const DispatchRelay &Order,
                                            Random &Numbers) {
  SimulatedUpstream *Upstream = this->at(Order.At);
  if (!Upstream)
    return endSoon(RelayNeverSent{});
  if (Upstream->Record.Id != Order.Engine)
    return endSoon(RelayNotRun{true, 421, std::nullopt});
  if (Upstream->Behavior == UpstreamBehavior::Refuses)
    return endSoon(RelayNotRun{false, 503, std::nullopt});
  if (Upstream->Behavior == UpstreamBehavior::Silent)
    return unanswered(Numbers.below(2) == 0);
  AttemptPlan Result;
  Result.Ran = true;
  Result.EndsAfter = between(Numbers, milliseconds(10), milliseconds(200));
  if (Order.Stream && Upstream->Behavior != UpstreamBehavior::Fails)
    Result.BeganAfter = Result.EndsAfter / 2;
  if (Upstream->Behavior == UpstreamBehavior::Fails)
    Result.Outcome = RelayFailed{500};
  else if (Upstream->Behavior == UpstreamBehavior::Cuts)
    Result.Outcome = RelayBroken{
        RelayBroken::Why::Reset, Order.Stream,
        Order.Stream
            ? std::optional<std::uint64_t>(Order.LastEvent.value_or(0) + 2)
            : std::nullopt};
  else
    Result.Outcome = RelayDelivered{};
  return Result;
}

void SimulatedUpstreams::replace(SimulatedUpstream &Upstream) {
  ++Upstream.Life;
  Upstream.Up = true;
  Upstream.Behavior = UpstreamBehavior::Healthy;
  const std::string Old = Upstream.Record.Id.Value;
  Upstream.Record.Id = UpstreamId(
      fmt::format("{}r{}", Old.substr(0, Old.find('r')), ++this->Replacements));
}

} // namespace banyanpick
