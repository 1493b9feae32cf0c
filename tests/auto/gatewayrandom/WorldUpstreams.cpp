#include "auto/gatewayrandom/WorldUpstreams.h"

#include <algorithm>
#include <fmt/format.h>

namespace banyanpick {

namespace {

Duration between(Random &Numbers, milliseconds Least, milliseconds Most) {
  return Least + milliseconds(Numbers.below(
                     static_cast<std::uint64_t>((Most - Least).count())));
}

TryFate unanswered(bool Ran) {
  TryFate Result;
  Result.Ran = Ran;
  Result.Answers = false;
  return Result;
}

TryFate soon(RelayOutcome Outcome) {
  TryFate Result;
  Result.EndsAfter = milliseconds(2);
  Result.Outcome = std::move(Outcome);
  return Result;
}

} // namespace

WorldUpstream *WorldUpstreams::at(const Address &Where) {
  const auto Found = std::ranges::find_if(this->All, [&](const auto &Each) {
    return Each.Up && Each.Record.At == Where;
  });
  return Found == this->All.end() ? nullptr : &*Found;
}

TryFate WorldUpstreams::fateOf(const DispatchRelay &Order, Random &Numbers) {
  WorldUpstream *Each = this->at(Order.At);
  if (!Each)
    return soon(RelayNeverSent{});
  if (Each->Record.Id != Order.Engine)
    return soon(RelayNotRun{true, 421, std::nullopt});
  if (Each->Mood == UpstreamMood::Refuses)
    return soon(RelayNotRun{false, 503, std::nullopt});
  if (Each->Mood == UpstreamMood::Silent)
    return unanswered(Numbers.below(2) == 0);
  TryFate Result;
  Result.Ran = true;
  Result.EndsAfter = between(Numbers, milliseconds(10), milliseconds(200));
  if (Order.Stream && Each->Mood != UpstreamMood::Fails)
    Result.BeganAfter = Result.EndsAfter / 2;
  if (Each->Mood == UpstreamMood::Fails)
    Result.Outcome = RelayFailed{500};
  else if (Each->Mood == UpstreamMood::Cuts)
    Result.Outcome = RelayBroken{
        RelayBroken::Why::Reset, Order.Stream,
        Order.Stream
            ? std::optional<std::uint64_t>(Order.LastEvent.value_or(0) + 2)
            : std::nullopt};
  else
    Result.Outcome = RelayDelivered{};
  return Result;
}

void WorldUpstreams::replace(WorldUpstream &Each) {
  ++Each.Life;
  Each.Up = true;
  Each.Mood = UpstreamMood::Sound;
  const std::string Old = Each.Record.Id.Value;
  Each.Record.Id = UpstreamId(
      fmt::format("{}r{}", Old.substr(0, Old.find('r')), ++this->Replacements));
}

} // namespace banyanpick
