#include "auto/gatewayrandom/SimulatedUpstreams.h"

#include <algorithm>
#include <fmt/format.h>

namespace banyanpick {

namespace {

Duration between(Random &Numbers, milliseconds Least, milliseconds Most) {
  return Least + milliseconds(Numbers.below(
                     static_cast<std::uint64_t>((Most - Least).count())));
}

AttemptPlan unanswered(bool Ran) {
  AttemptPlan Result;
  Result.Ran = Ran;
  Result.Answers = false;
  return Result;
}

AttemptPlan soon(RelayOutcome Outcome) {
  AttemptPlan Result;
  Result.EndsAfter = milliseconds(2);
  Result.Outcome = std::move(Outcome);
  return Result;
}

} // namespace

SimulatedUpstream *SimulatedUpstreams::at(const Address &Where) {
  const auto Found = std::ranges::find_if(this->All, [&](const auto &Each) {
    return Each.Up && Each.Record.At == Where;
  });
  return Found == this->All.end() ? nullptr : &*Found;
}

AttemptPlan SimulatedUpstreams::planAttempt(const DispatchRelay &Order,
                                            Random &Numbers) {
  SimulatedUpstream *Each = this->at(Order.At);
  if (!Each)
    return soon(RelayNeverSent{});
  if (Each->Record.Id != Order.Engine)
    return soon(RelayNotRun{true, 421, std::nullopt});
  if (Each->Behavior == UpstreamBehavior::Refuses)
    return soon(RelayNotRun{false, 503, std::nullopt});
  if (Each->Behavior == UpstreamBehavior::Silent)
    return unanswered(Numbers.below(2) == 0);
  AttemptPlan Result;
  Result.Ran = true;
  Result.EndsAfter = between(Numbers, milliseconds(10), milliseconds(200));
  if (Order.Stream && Each->Behavior != UpstreamBehavior::Fails)
    Result.BeganAfter = Result.EndsAfter / 2;
  if (Each->Behavior == UpstreamBehavior::Fails)
    Result.Outcome = RelayFailed{500};
  else if (Each->Behavior == UpstreamBehavior::Cuts)
    Result.Outcome = RelayBroken{
        RelayBroken::Why::Reset, Order.Stream,
        Order.Stream
            ? std::optional<std::uint64_t>(Order.LastEvent.value_or(0) + 2)
            : std::nullopt};
  else
    Result.Outcome = RelayDelivered{};
  return Result;
}

void SimulatedUpstreams::replace(SimulatedUpstream &Each) {
  ++Each.Life;
  Each.Up = true;
  Each.Behavior = UpstreamBehavior::Healthy;
  const std::string Old = Each.Record.Id.Value;
  Each.Record.Id = UpstreamId(
      fmt::format("{}r{}", Old.substr(0, Old.find('r')), ++this->Replacements));
}

} // namespace banyanpick
