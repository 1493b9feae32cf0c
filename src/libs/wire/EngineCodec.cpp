#include "wire/EngineCodec.h"

#include "base/Milliseconds.h"
#include "peer.pb.h"
#include "wire/AddressCodec.h"
#include "wire/WireChecks.h"

namespace banyanpick::wire {

void toWire(const banyanpick::EnginesRelayed &Body, EnginesRelayed &Out) {
  Out.set_up_to(Body.UpTo);
  Out.set_complete(Body.Complete);
  for (const EngineChange &Update : Body.Changes) {
    EnginesRelayed::Change &Item = *Out.add_changes();
    Item.set_id(Update.Engine.Id.Value);
    Item.set_service(Update.Engine.Service.Value);
    toWire(Update.Engine.At, *Item.mutable_at());
    Item.set_zone(Update.Engine.Zone.Value);
    Item.set_slots(Update.Engine.Slots);
    Item.set_draining(Update.Engine.Draining);
    Item.set_removed(Update.Removed);
    Item.set_offset(Update.Offset);
    Item.set_cold_ms(inMilliseconds(Update.Engine.ColdFor));
    Item.set_cold_unreadable(Update.Engine.ColdUnreadable);
  }
}

banyanpick::EnginesRelayed fromWire(const EnginesRelayed &In) {
  banyanpick::EnginesRelayed Result;
  Result.UpTo = In.up_to();
  Result.Complete = In.complete();
  for (const EnginesRelayed::Change &Update : In.changes()) {
    EngineChange Item;
    Item.Engine.Id.Value = Update.id();
    Item.Engine.Service.Value = Update.service();
    Item.Engine.At = fromWire(Update.at());
    Item.Engine.Zone.Value = Update.zone();
    Item.Engine.Slots = Update.slots();
    Item.Engine.Draining = Update.draining();
    Item.Removed = Update.removed();
    Item.Offset = Update.offset();
    Item.Engine.ColdFor =
        fromMilliseconds(checkedMilliseconds(Update.cold_ms()));
    Item.Engine.ColdUnreadable = Update.cold_unreadable();
    Result.Changes.push_back(std::move(Item));
  }
  return Result;
}

void toWire(const banyanpick::EngineWork &Body, EngineWork &Out) {
  for (const auto &Work : Body.Items) {
    EngineWork::Item &Item = *Out.add_items();
    Item.set_engine(Work.Engine.Value);
    Item.set_read_ms(static_cast<float>(Work.PrefillMs));
    Item.set_reading(Work.Prefilling);
    Item.set_writing(Work.Decoding);
    Item.set_memory_tokens(Work.MemoryTokens);
    Item.set_short_running(Work.ShortRunning);
    for (const auto &Answer : Work.ActiveAnswers) {
      EngineWork::Answers &AnswerItem = *Item.add_held();
      AnswerItem.set_pause_ms(static_cast<float>(Answer.PauseMs));
      AnswerItem.set_value_ms(static_cast<float>(Answer.ValueMs));
    }
  }
  for (const auto &Prompt : Body.QueuedPrompts) {
    EngineWork::Waiting &Item = *Out.add_in_lane();
    Item.set_request(Prompt.Request);
    Item.set_tokens(Prompt.Tokens);
    Item.set_read_ms(static_cast<float>(Prompt.PrefillMs));
    Item.set_needed_ms(static_cast<float>(Prompt.NeededMs));
    Item.set_left_ms(static_cast<float>(Prompt.LeftMs));
  }
  for (const auto &Slowdown : Body.Slowdowns) {
    EngineWork::Pace &Item = *Out.add_paces();
    Item.set_engine(Slowdown.Engine.Value);
    Item.set_factor(static_cast<float>(Slowdown.Factor));
  }
  for (const auto &Distrusted : Body.Distrusted) {
    EngineWork::Distrust &Item = *Out.add_distrusted();
    Item.set_engine(Distrusted.Engine.Value);
    Item.set_since_ms(static_cast<float>(Distrusted.SinceMs));
    Item.set_left_ms(static_cast<float>(Distrusted.LeftMs));
  }
  Out.set_warming_up(Body.WarmingUp);
  for (const auto &Load : Body.Loads) {
    EngineWork::Load &Item = *Out.add_loads();
    Item.set_engine(Load.Engine.Value);
    Item.set_running(Load.Running);
    Item.set_waiting(Load.Waiting);
    Item.set_memory_tokens(Load.MemoryTokens);
    Item.set_age_ms(static_cast<float>(Load.AgeMs));
  }
}

banyanpick::EngineWork fromWire(const EngineWork &In) {
  banyanpick::EngineWork Result;
  for (const EngineWork::Item &Work : In.items()) {
    Result.Items.push_back({UpstreamId(Work.engine()),
                            checkedNumber(Work.read_ms()),
                            Work.reading(),
                            Work.writing(),
                            Work.memory_tokens(),
                            Work.short_running(),
                            {}});
    for (const EngineWork::Answers &Answer : Work.held())
      Result.Items.back().ActiveAnswers.push_back(
          {checkedNumber(Answer.pause_ms()), checkedNumber(Answer.value_ms())});
  }
  for (const EngineWork::Waiting &Prompt : In.in_lane())
    Result.QueuedPrompts.push_back(
        {Prompt.request(), Prompt.tokens(), checkedNumber(Prompt.read_ms()),
         checkedNumber(Prompt.needed_ms()), checkedNumber(Prompt.left_ms())});
  for (const EngineWork::Pace &Slowdown : In.paces())
    Result.Slowdowns.push_back(
        {UpstreamId(Slowdown.engine()), checkedNumber(Slowdown.factor())});
  for (const EngineWork::Distrust &Distrusted : In.distrusted())
    Result.Distrusted.push_back({UpstreamId(Distrusted.engine()),
                                 checkedNumber(Distrusted.since_ms()),
                                 checkedNumber(Distrusted.left_ms())});
  Result.WarmingUp = In.warming_up();
  for (const EngineWork::Load &Load : In.loads())
    Result.Loads.push_back({UpstreamId(Load.engine()), Load.running(),
                            Load.waiting(), Load.memory_tokens(),
                            checkedMilliseconds(Load.age_ms())});
  return Result;
}

void toWire(const banyanpick::EngineLimits &Body, EngineLimits &Out) {
  for (const auto &Report : Body.LimitReports) {
    EngineLimits::Word &Item = *Out.add_words();
    Item.set_engine(Report.Engine.Value);
    if (Report.PerSecond)
      Item.set_per_second(*Report.PerSecond);
    Item.set_age_ms(Report.AgeMs);
  }
  for (const auto &LeaseRequest : Body.LeaseRequests) {
    EngineLimits::Ask &Item = *Out.add_asks();
    Item.set_engine(LeaseRequest.Engine.Value);
    Item.set_number(LeaseRequest.Number);
    Item.set_count(LeaseRequest.Count);
  }
  for (const auto &Lease : Body.Leases) {
    EngineLimits::Loan &Item = *Out.add_loans();
    Item.set_engine(Lease.Engine.Value);
    Item.set_number(Lease.Number);
    Item.set_count(Lease.Count);
    Item.set_later_ms(Lease.RetryAfterMs);
    Item.set_waited_ms(Lease.WaitedMs);
  }
  for (const auto &Returned : Body.Returns) {
    EngineLimits::Return &Item = *Out.add_returns();
    Item.set_engine(Returned.Engine.Value);
    Item.set_number(Returned.Number);
    Item.set_count(Returned.Count);
  }
  for (const auto &Report : Body.ColdReports) {
    EngineLimits::Cold &Item = *Out.add_cold();
    Item.set_engine(Report.Engine.Value);
    Item.set_left_ms(Report.LeftMs);
    Item.set_turned_cold(Report.TurnedCold);
  }
}

banyanpick::EngineLimits fromWire(const EngineLimits &In) {
  banyanpick::EngineLimits Result;
  for (const EngineLimits::Word &Report : In.words()) {
    const auto PerSecond =
        Report.has_per_second()
            ? std::optional(std::max(checkedNumber(Report.per_second()), 0.0))
            : std::nullopt;
    Result.LimitReports.push_back({UpstreamId(Report.engine()), PerSecond,
                                   checkedMilliseconds(Report.age_ms())});
  }
  for (const EngineLimits::Ask &LeaseRequest : In.asks())
    Result.LeaseRequests.push_back({UpstreamId(LeaseRequest.engine()),
                                    LeaseRequest.number(),
                                    LeaseRequest.count()});
  for (const EngineLimits::Loan &Lease : In.loans())
    Result.Leases.push_back({UpstreamId(Lease.engine()), Lease.number(),
                             Lease.count(),
                             checkedMilliseconds(Lease.later_ms()),
                             checkedMilliseconds(Lease.waited_ms())});
  for (const EngineLimits::Return &Returned : In.returns())
    Result.Returns.push_back(
        {UpstreamId(Returned.engine()), Returned.number(), Returned.count()});
  for (const EngineLimits::Cold &Report : In.cold())
    Result.ColdReports.push_back({UpstreamId(Report.engine()),
                                  checkedMilliseconds(Report.left_ms()),
                                  Report.turned_cold()});
  return Result;
}

void toWire(const banyanpick::EngineSignals &Body, EngineSignals &Out) {
  for (const auto &Backoff : Body.Backoffs) {
    EngineSignals::Rest &Item = *Out.add_rests();
    Item.set_engine(Backoff.Engine.Value);
    Item.set_left_ms(Backoff.LeftMs);
  }
  for (const UpstreamId &Engine : Body.Leaving)
    Out.add_leaving(Engine.Value);
}

banyanpick::EngineSignals fromWire(const EngineSignals &In) {
  banyanpick::EngineSignals Result;
  for (const EngineSignals::Rest &Backoff : In.rests())
    Result.Backoffs.push_back(
        {UpstreamId(Backoff.engine()), checkedMilliseconds(Backoff.left_ms())});
  for (const std::string &Engine : In.leaving())
    Result.Leaving.emplace_back(Engine);
  return Result;
}

} // namespace banyanpick::wire
