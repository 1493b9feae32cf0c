#include "wire/UpstreamCodec.h"

#include "upstream.pb.h"
#include "wire/WireChecks.h"

namespace banyanpick::wire {

namespace {

void write(const banyanpick::HoldReport &Hold, HoldReport &Out) {
  Out.set_kind(static_cast<std::uint32_t>(Hold.Kind));
  Out.set_owner_life(Hold.OwnerLife);
  Out.set_sequence(Hold.Sequence);
  Out.set_owner_host(Hold.OwnerHost);
  Out.set_tokens(Hold.Tokens);
  Out.set_deadline_us(toWire(Hold.Deadline));
}

banyanpick::HoldReport read(const HoldReport &In) {
  return {checkedEnum(In.kind(), HoldKind::Export),
          In.owner_life(),
          In.sequence(),
          In.owner_host(),
          In.tokens(),
          timeFromWire(In.deadline_us())};
}

} // namespace

void toWire(const banyanpick::LoadReport &Report, LoadReport &Out) {
  Out.set_id(Report.Id.Value);
  Out.set_life(Report.Life.Value);
  Out.set_measured_at_us(toWire(Report.MeasuredAt));
  Out.set_leaving(Report.Leaving);
  Out.set_running(Report.Running);
  Out.set_queued(Report.Queued);
  Out.set_queued_prefill_tokens(Report.QueuedPrefillTokens);
  Out.set_memory_tokens(Report.MemoryTokens);
  Out.set_free_memory_tokens(Report.FreeMemoryTokens);
  Out.set_prefill_tokens_per_second(Report.PrefillTokensPerSecond);
  Out.set_decode_tokens_per_second(Report.DecodeTokensPerSecond);
  Out.set_highest_fencing(Report.HighestFencing);
  for (const ModelId &Model : Report.Models)
    Out.add_models(Model.Value);
  for (const banyanpick::HoldReport &Hold : Report.Holds)
    write(Hold, *Out.add_holds());
  for (const PriorityBacklog &Queued : Report.Backlog) {
    Backlog &Item = *Out.add_backlog();
    Item.set_priority(Queued.Priority);
    Item.set_prefill_tokens(Queued.PrefillTokens);
  }
}

banyanpick::LoadReport fromWire(const LoadReport &In) {
  banyanpick::LoadReport Result;
  Result.Id.Value = In.id();
  Result.Life.Value = In.life();
  Result.MeasuredAt = timeFromWire(In.measured_at_us());
  Result.Leaving = In.leaving();
  Result.Running = In.running();
  Result.Queued = In.queued();
  Result.QueuedPrefillTokens = In.queued_prefill_tokens();
  Result.MemoryTokens = In.memory_tokens();
  Result.FreeMemoryTokens = In.free_memory_tokens();
  Result.PrefillTokensPerSecond = checkedNumber(In.prefill_tokens_per_second());
  Result.DecodeTokensPerSecond = checkedNumber(In.decode_tokens_per_second());
  Result.HighestFencing = In.highest_fencing();
  for (const std::string &Model : In.models())
    Result.Models.emplace_back(Model);
  for (const HoldReport &Hold : In.holds())
    Result.Holds.push_back(read(Hold));
  for (const Backlog &Queued : In.backlog())
    Result.Backlog.push_back({Queued.priority(), Queued.prefill_tokens()});
  return Result;
}

} // namespace banyanpick::wire
