#include "wire/PeerCodec.h"

#include "base/Milliseconds.h"
#include "base/Visitor.h"
#include "peer.pb.h"
#include "wire/LogCodec.h"
#include "wire/UpstreamCodec.h"
#include "wire/WireChecks.h"

namespace banyanpick {

namespace wire {
namespace {

/// Longest time that is read, in microseconds; one day.
constexpr std::uint64_t OldestUs = 86'400'000'000;

/// Largest port number; ports have 16 bits.
constexpr std::uint32_t HighestPort = 65535;

void write(const Address &Source, SocketAddress &Out) {
  Out.set_ip(Source.Ip);
  Out.set_port(Source.Port);
}

Address read(const SocketAddress &In) {
  if (In.port() > HighestPort)
    throwMalformed("a port is out of range");
  return {In.ip(), static_cast<std::uint16_t>(In.port())};
}

void write(const HostListing &Source, Listing &Out) {
  Out.set_host(Source.Id.Value);
  Out.set_zone(Source.Zone.Value);
  write(Source.Callers, *Out.mutable_callers());
  write(Source.Peers, *Out.mutable_peers());
  Out.set_processor(Source.Processor.Thousandths);
}

HostListing read(const Listing &In) {
  HostListing Result;
  Result.Id.Value = In.host();
  Result.Zone.Value = In.zone();
  Result.Callers = read(In.callers());
  Result.Peers = read(In.peers());
  if (In.processor() > 0)
    Result.Processor.Thousandths = In.processor();
  return Result;
}

void write(const banyanpick::Heartbeat &Body, Envelope &Envelope) {
  Heartbeat &Out = *Envelope.mutable_heartbeat();
  Out.set_sequence(Body.Sequence);
  Out.set_acknowledges(Body.Acknowledges);
  Out.set_zone(Body.Zone.Value);
  Out.set_version(Body.Version);
  Out.set_leaving(Body.Leaving);
  Out.set_ready(Body.Ready);
  Out.set_in_force(Body.InForce);
  Out.set_log_confirmed_at_us(toWire(Body.LogConfirmedAt));
  for (const MemberUpdate &Update : Body.Updates) {
    Rumour &Item = *Out.add_rumours();
    Item.set_host(Update.Host.Value);
    Item.set_life(Update.Life.Value);
    Item.set_version(Update.Version);
    Item.set_state(static_cast<std::uint32_t>(Update.State));
    Item.set_ready(Update.Ready);
    Item.set_cut_off(Update.CutOff);
  }
  for (const HostListing &Host : Body.KnownHosts)
    write(Host, *Out.add_known());
  Out.set_engines_known_to(Body.EnginesKnownTo);
  Out.set_engines_digest(Body.EnginesDigest);
  if (Body.StoreAge != Duration::max())
    Out.set_store_age_us(static_cast<std::uint64_t>(Body.StoreAge.count()));
  Out.set_late_us(static_cast<std::uint64_t>(Body.Late.count()));
  for (const EvacuationRecord &Record : Body.Evacuations) {
    Evacuation &Item = *Out.add_evacuations();
    Item.set_zone(Record.Zone.Value);
    Item.set_active(Record.Active);
    Item.set_offset(Record.Offset);
  }
  for (const banyanpick::VersionInForce &Recent : Body.RecentVersions) {
    VersionInForce &Item = *Out.add_recent_versions();
    Item.set_version(Recent.Version);
    Item.set_age_us(static_cast<std::uint64_t>(Recent.Age.count()));
  }
  Out.set_cut_off(Body.CutOff);
}

void write(const banyanpick::WorkSent &Body, Envelope &Envelope) {
  WorkSent &Out = *Envelope.mutable_work_sent();
  for (const auto &Work : Body.Items) {
    WorkSent::Item &Item = *Out.add_items();
    Item.set_engine(Work.Engine.Value);
    Item.set_prefill_tokens(Work.PrefillTokens);
    Item.set_requests(Work.Requests);
  }
}

void write(const banyanpick::TeamUsage &Body, Envelope &Envelope) {
  TeamUsage &Out = *Envelope.mutable_team_usage();
  Out.set_epoch(Body.Epoch);
  for (const auto &Usage : Body.Items) {
    TeamUsage::Item &Item = *Out.add_items();
    Item.set_team(Usage.Team.Value);
    Item.set_service_tokens(Usage.ServiceTokens);
    Item.set_demand_requests(Usage.DemandRequests);
    Item.set_demand_tokens(Usage.DemandTokens);
    Item.set_concurrent(Usage.Concurrent);
    Item.set_lane(Usage.QueueHash);
  }
}

void write(const banyanpick::LimitShare &Body, Envelope &Envelope) {
  LimitShare &Out = *Envelope.mutable_limit_share();
  Out.set_team(Body.Team.Value);
  Out.set_transfer(Body.Transfer);
  Out.set_fraction(Body.Fraction);
  Out.set_valid_from_us(toWire(Body.ValidFrom));
  Out.set_view(Body.View);
}

void write(const banyanpick::RecordsRelayed &Body, Envelope &Envelope) {
  RecordsRelayed &Out = *Envelope.mutable_records_relayed();
  for (const banyanpick::StoredRecord &Record : Body.Records)
    toWire(Record, *Out.add_records());
  Out.set_first_offset(Body.FirstOffset);
  Out.set_next_offset(Body.NextOffset);
}

void write(const banyanpick::RecordsRequest &Body, Envelope &Envelope) {
  Envelope.mutable_records_asked()->set_from_offset(Body.FromOffset);
}

void write(const banyanpick::CatalogueRelayed &Body, Envelope &Envelope) {
  Envelope.mutable_catalogue_relayed()->set_at_offset(Body.AtOffset);
  Envelope.mutable_catalogue_relayed()->set_text(Body.Text);
}

void write(const QuarantineNotice &Body, Envelope &Envelope) {
  Quarantine &Out = *Envelope.mutable_quarantine_notice();
  Out.set_content(Body.Content.Value);
  Out.set_crashes(Body.Crashes);
  Out.set_until_us(toWire(Body.Until));
  Out.set_upstream(Body.Upstream.Value);
  Out.set_upstream_life(Body.UpstreamLife.Value);
}

void write(const banyanpick::HarmlessContent &Body, Envelope &Envelope) {
  HarmlessContent &Out = *Envelope.mutable_harmless_content();
  Out.set_content(Body.Content.Value);
  Out.set_began_us_ago(
      static_cast<std::uint64_t>(std::max(Body.BeganAgo, Duration(0)).count()));
}

void write(const banyanpick::UpstreamNotice &Body, Envelope &Envelope) {
  UpstreamNotice &Out = *Envelope.mutable_upstream_notice();
  Out.set_upstream(Body.Upstream.Value);
  Out.set_life(Body.Life.Value);
  Out.set_leaving(Body.Leaving);
  Out.set_dead(Body.Dead);
}

void write(const LoadRelayed &Body, Envelope &Envelope) {
  toWire(Body.Report, *Envelope.mutable_load_relayed());
}

void write(const banyanpick::StreamHandover &Body, Envelope &Envelope) {
  StreamHandover &Out = *Envelope.mutable_stream_handover();
  Out.set_resume_token(Body.ResumeToken);
  Out.set_team(Body.Team.Value);
  Out.set_class_id(Body.Class.Value);
  Out.set_attempt_maker(Body.Attempt.Maker.Value);
  Out.set_attempt_sequence(Body.Attempt.Sequence);
  Out.set_upstream(Body.Upstream.Value);
  Out.set_next_index(Body.NextIndex);
  Out.set_deadline_us(toWire(Body.Deadline));
}

void write(const banyanpick::HandoverTaken &Body, Envelope &Envelope) {
  Envelope.mutable_handover_taken()->set_resume_token(Body.ResumeToken);
}

void write(const banyanpick::RecordsToAppend &Body, Envelope &Envelope) {
  Envelope.set_records_to_append(encodeLogBatch(Body.Records));
}

void write(const banyanpick::ConfigurationRequest &Body, Envelope &Envelope) {
  ConfigurationAsked &Out = *Envelope.mutable_configuration_asked();
  Out.set_newer_than(Body.NewerThan);
  Out.set_version(Body.Version);
  Out.set_from(Body.From);
}

void write(const banyanpick::ConfigurationRelayed &Body, Envelope &Envelope) {
  ConfigurationRelayed &Out = *Envelope.mutable_configuration_relayed();
  Out.set_version(Body.Version);
  Out.set_piece(Body.Chunk);
  Out.set_from(Body.From);
  Out.set_size(Body.Size);
}

void write(const banyanpick::EnginesRequest &Body, Envelope &Envelope) {
  Envelope.mutable_engines_asked()->set_from_offset(Body.From);
}

void write(const banyanpick::EnginesRelayed &Body, Envelope &Envelope) {
  EnginesRelayed &Out = *Envelope.mutable_engines_relayed();
  Out.set_up_to(Body.UpTo);
  Out.set_complete(Body.Complete);
  for (const EngineChange &Update : Body.Changes) {
    EnginesRelayed::Change &Item = *Out.add_changes();
    Item.set_id(Update.Engine.Id.Value);
    Item.set_service(Update.Engine.Service.Value);
    write(Update.Engine.At, *Item.mutable_at());
    Item.set_zone(Update.Engine.Zone.Value);
    Item.set_slots(Update.Engine.Slots);
    Item.set_draining(Update.Engine.Draining);
    Item.set_removed(Update.Removed);
    Item.set_offset(Update.Offset);
    Item.set_cold_ms(inMilliseconds(Update.Engine.ColdFor));
    Item.set_cold_unreadable(Update.Engine.ColdUnreadable);
  }
}

void write(const banyanpick::EngineWork &Body, Envelope &Envelope) {
  EngineWork &Out = *Envelope.mutable_engine_work();
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

void write(const banyanpick::EngineLimits &Body, Envelope &Envelope) {
  EngineLimits &Out = *Envelope.mutable_engine_limits();
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

void write(const banyanpick::EngineSignals &Body, Envelope &Envelope) {
  EngineSignals &Out = *Envelope.mutable_engine_signals();
  for (const auto &Backoff : Body.Backoffs) {
    EngineSignals::Rest &Item = *Out.add_rests();
    Item.set_engine(Backoff.Engine.Value);
    Item.set_left_ms(Backoff.LeftMs);
  }
  for (const UpstreamId &Engine : Body.Leaving)
    Out.add_leaving(Engine.Value);
}

banyanpick::EnginesRelayed read(const EnginesRelayed &In) {
  banyanpick::EnginesRelayed Result;
  Result.UpTo = In.up_to();
  Result.Complete = In.complete();
  for (const EnginesRelayed::Change &Update : In.changes()) {
    EngineChange Item;
    Item.Engine.Id.Value = Update.id();
    Item.Engine.Service.Value = Update.service();
    Item.Engine.At = read(Update.at());
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

banyanpick::EngineWork read(const EngineWork &In) {
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

banyanpick::EngineLimits read(const EngineLimits &In) {
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

banyanpick::EngineSignals read(const EngineSignals &In) {
  banyanpick::EngineSignals Result;
  for (const EngineSignals::Rest &Backoff : In.rests())
    Result.Backoffs.push_back(
        {UpstreamId(Backoff.engine()), checkedMilliseconds(Backoff.left_ms())});
  for (const std::string &Engine : In.leaving())
    Result.Leaving.emplace_back(Engine);
  return Result;
}

banyanpick::Heartbeat read(const Heartbeat &In) {
  banyanpick::Heartbeat Result;
  Result.Sequence = In.sequence();
  Result.Acknowledges = In.acknowledges();
  Result.Zone.Value = In.zone();
  Result.Version = In.version();
  Result.Leaving = In.leaving();
  Result.Ready = In.ready();
  Result.InForce = In.in_force();
  Result.LogConfirmedAt = timeFromWire(In.log_confirmed_at_us());
  for (const Rumour &Update : In.rumours())
    Result.Updates.push_back({HostId(Update.host()), Incarnation(Update.life()),
                              Update.version(),
                              checkedEnum(Update.state(), MemberState::Leaving),
                              Update.ready(), Update.cut_off()});
  for (const Listing &Host : In.known())
    Result.KnownHosts.push_back(read(Host));
  Result.EnginesKnownTo = In.engines_known_to();
  Result.EnginesDigest = In.engines_digest();
  // Larger values are clamped to one day so that time arithmetic can't
  // overflow. Receivers treat all values above one day alike.
  if (In.has_store_age_us())
    Result.StoreAge = Duration(std::min(In.store_age_us(), OldestUs));
  Result.Late = Duration(std::min(In.late_us(), OldestUs));
  const std::size_t Evacuations = std::min<std::size_t>(
      static_cast<std::size_t>(In.evacuations_size()), MaxEvacuationRecords);
  for (std::size_t Index = 0; Index < Evacuations; ++Index) {
    const Evacuation &Item = In.evacuations(static_cast<int>(Index));
    Result.Evacuations.push_back(
        {ZoneId(Item.zone()), Item.active(), Item.offset()});
  }
  const std::size_t Versions = std::min<std::size_t>(
      static_cast<std::size_t>(In.recent_versions_size()), MaxRecentVersions);
  for (std::size_t Index = 0; Index < Versions; ++Index) {
    const VersionInForce &Item = In.recent_versions(static_cast<int>(Index));
    Result.RecentVersions.push_back(
        {Item.version(), Duration(std::min(Item.age_us(), OldestUs))});
  }
  Result.CutOff = In.cut_off();
  return Result;
}

banyanpick::WorkSent read(const WorkSent &In) {
  banyanpick::WorkSent Result;
  for (const WorkSent::Item &Work : In.items())
    Result.Items.push_back(
        {UpstreamId(Work.engine()), Work.prefill_tokens(), Work.requests()});
  return Result;
}

banyanpick::TeamUsage read(const TeamUsage &In) {
  banyanpick::TeamUsage Result;
  Result.Epoch = In.epoch();
  for (const TeamUsage::Item &Usage : In.items())
    Result.Items.push_back({TeamId(Usage.team()),
                            checkedNumber(Usage.service_tokens()),
                            checkedNumber(Usage.demand_requests()),
                            checkedNumber(Usage.demand_tokens()),
                            Usage.concurrent(), Usage.lane()});
  return Result;
}

banyanpick::LimitShare read(const LimitShare &In) {
  return {TeamId(In.team()), In.transfer(), checkedNumber(In.fraction()),
          timeFromWire(In.valid_from_us()), In.view()};
}

banyanpick::RecordsRelayed read(const RecordsRelayed &In) {
  banyanpick::RecordsRelayed Result;
  for (const StoredRecord &Record : In.records())
    Result.Records.push_back(fromWire(Record));
  Result.FirstOffset = In.first_offset();
  Result.NextOffset = In.next_offset();
  return Result;
}

QuarantineNotice read(const Quarantine &In) {
  return {Fingerprint(In.content()), In.crashes(), timeFromWire(In.until_us()),
          UpstreamId(In.upstream()), Incarnation(In.upstream_life())};
}

banyanpick::UpstreamNotice read(const UpstreamNotice &In) {
  return {UpstreamId(In.upstream()), Incarnation(In.life()), In.leaving(),
          In.dead()};
}

banyanpick::StreamHandover read(const StreamHandover &In) {
  banyanpick::StreamHandover Result;
  Result.ResumeToken = In.resume_token();
  Result.Team.Value = In.team();
  Result.Class.Value = In.class_id();
  Result.Attempt.Maker.Value = In.attempt_maker();
  Result.Attempt.Sequence = In.attempt_sequence();
  Result.Upstream.Value = In.upstream();
  Result.NextIndex = In.next_index();
  Result.Deadline = timeFromWire(In.deadline_us());
  return Result;
}

PeerMessageBody readBody(const Envelope &In) {
  switch (In.body_case()) {
  case Envelope::kHeartbeat:
    return read(In.heartbeat());
  case Envelope::kWorkSent:
    return read(In.work_sent());
  case Envelope::kTeamUsage:
    return read(In.team_usage());
  case Envelope::kLimitShare:
    return read(In.limit_share());
  case Envelope::kRecordsRelayed:
    return read(In.records_relayed());
  case Envelope::kRecordsAsked:
    return banyanpick::RecordsRequest{In.records_asked().from_offset()};
  case Envelope::kCatalogueRelayed:
    return banyanpick::CatalogueRelayed{In.catalogue_relayed().at_offset(),
                                        In.catalogue_relayed().text()};
  case Envelope::kQuarantineNotice:
    return read(In.quarantine_notice());
  case Envelope::kUpstreamNotice:
    return read(In.upstream_notice());
  case Envelope::kLoadRelayed:
    return LoadRelayed{fromWire(In.load_relayed())};
  case Envelope::kStreamHandover:
    return read(In.stream_handover());
  case Envelope::kHandoverTaken:
    return banyanpick::HandoverTaken{In.handover_taken().resume_token()};
  case Envelope::kRecordsToAppend:
    return banyanpick::RecordsToAppend{decodeLogBatch(In.records_to_append())};
  case Envelope::kConfigurationAsked:
    return banyanpick::ConfigurationRequest{
        In.configuration_asked().newer_than(),
        In.configuration_asked().version(), In.configuration_asked().from()};
  case Envelope::kConfigurationRelayed:
    return banyanpick::ConfigurationRelayed{
        In.configuration_relayed().version(),
        In.configuration_relayed().piece(), In.configuration_relayed().from(),
        In.configuration_relayed().size()};
  case Envelope::kEnginesAsked:
    return banyanpick::EnginesRequest{In.engines_asked().from_offset()};
  case Envelope::kEnginesRelayed:
    return read(In.engines_relayed());
  case Envelope::kEngineWork:
    return read(In.engine_work());
  case Envelope::kEngineLimits:
    return read(In.engine_limits());
  case Envelope::kEngineSignals:
    return read(In.engine_signals());
  case Envelope::kHarmlessContent:
    return banyanpick::HarmlessContent{
        Fingerprint(In.harmless_content().content()),
        Duration(std::min(In.harmless_content().began_us_ago(), OldestUs))};
  case Envelope::BODY_NOT_SET:
    break;
  }
  throwMalformed("a peer message has no body");
}

} // namespace
} // namespace wire

std::string encodePeerMessage(const PeerMessage &Message) {
  wire::Envelope Envelope;
  Envelope.set_from(Message.From.Value);
  Envelope.set_from_life(Message.FromLife.Value);
  std::visit([&](const auto &Body) { wire::write(Body, Envelope); },
             Message.Body);
  return Envelope.SerializeAsString();
}

PeerMessage decodePeerMessage(std::string_view Bytes) {
  wire::Envelope Envelope;
  if (!Envelope.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    wire::throwMalformed("no peer message");
  return {HostId(Envelope.from()), Incarnation(Envelope.from_life()),
          wire::readBody(Envelope)};
}

} // namespace banyanpick
