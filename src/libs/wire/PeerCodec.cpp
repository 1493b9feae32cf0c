#include "wire/PeerCodec.h"

#include "base/Visitor.h"
#include "peer.pb.h"
#include "wire/LogCodec.h"
#include "wire/UpstreamCodec.h"
#include "wire/WireChecks.h"

namespace banyanpick {

namespace wire {
namespace {

/// Ports are sixteen bits; a larger number is no port.
constexpr std::uint32_t HighestPort = 65535;

void write(const Address &From, SocketAddress &Out) {
  Out.set_ip(From.Ip);
  Out.set_port(From.Port);
}

Address read(const SocketAddress &In) {
  if (In.port() > HighestPort)
    throwMalformed("a port is out of range");
  return {In.ip(), static_cast<std::uint16_t>(In.port())};
}

void write(const HostListing &From, Listing &Out) {
  Out.set_host(From.Id.Value);
  Out.set_zone(From.Zone.Value);
  write(From.Callers, *Out.mutable_callers());
  write(From.Peers, *Out.mutable_peers());
  Out.set_processor(From.Processor.Thousandths);
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
  for (const MemberUpdate &Each : Body.Updates) {
    Rumour &Item = *Out.add_rumours();
    Item.set_host(Each.Host.Value);
    Item.set_life(Each.Life.Value);
    Item.set_version(Each.Version);
    Item.set_state(static_cast<std::uint32_t>(Each.State));
    Item.set_ready(Each.Ready);
  }
  for (const HostListing &Each : Body.KnownHosts)
    write(Each, *Out.add_known());
  Out.set_engines_known_to(Body.EnginesKnownTo);
  Out.set_engines_digest(Body.EnginesDigest);
  if (Body.StoreAge != Duration::max())
    Out.set_store_age_us(static_cast<std::uint64_t>(Body.StoreAge.count()));
  Out.set_late_us(static_cast<std::uint64_t>(Body.Late.count()));
}

void write(const banyanpick::WorkSent &Body, Envelope &Envelope) {
  WorkSent &Out = *Envelope.mutable_work_sent();
  for (const auto &Each : Body.Items) {
    WorkSent::Item &Item = *Out.add_items();
    Item.set_engine(Each.Engine.Value);
    Item.set_prefill_tokens(Each.PrefillTokens);
    Item.set_requests(Each.Requests);
  }
}

void write(const banyanpick::TeamUsage &Body, Envelope &Envelope) {
  TeamUsage &Out = *Envelope.mutable_team_usage();
  Out.set_epoch(Body.Epoch);
  for (const auto &Each : Body.Items) {
    TeamUsage::Item &Item = *Out.add_items();
    Item.set_team(Each.Team.Value);
    Item.set_service_tokens(Each.ServiceTokens);
    Item.set_demand_requests(Each.DemandRequests);
    Item.set_demand_tokens(Each.DemandTokens);
    Item.set_concurrent(Each.Concurrent);
    Item.set_lane(Each.Lane);
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
  for (const banyanpick::StoredRecord &Each : Body.Records)
    toWire(Each, *Out.add_records());
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
  for (const EngineChange &Each : Body.Changes) {
    EnginesRelayed::Change &Item = *Out.add_changes();
    Item.set_id(Each.Engine.Id.Value);
    Item.set_service(Each.Engine.Service.Value);
    write(Each.Engine.At, *Item.mutable_at());
    Item.set_zone(Each.Engine.Zone.Value);
    Item.set_slots(Each.Engine.Slots);
    Item.set_draining(Each.Engine.Draining);
    Item.set_removed(Each.Removed);
    Item.set_offset(Each.Offset);
  }
}

void write(const banyanpick::EngineWork &Body, Envelope &Envelope) {
  EngineWork &Out = *Envelope.mutable_engine_work();
  for (const auto &Each : Body.Items) {
    EngineWork::Item &Item = *Out.add_items();
    Item.set_engine(Each.Engine.Value);
    Item.set_read_ms(static_cast<float>(Each.PrefillMs));
    Item.set_reading(Each.Prefilling);
    Item.set_writing(Each.Decoding);
    Item.set_memory_tokens(Each.MemoryTokens);
    Item.set_short_running(Each.ShortRunning);
    for (const auto &One : Each.ActiveAnswers) {
      EngineWork::Answers &Held = *Item.add_held();
      Held.set_pause_ms(static_cast<float>(One.PauseMs));
      Held.set_value_ms(static_cast<float>(One.ValueMs));
    }
  }
  for (const auto &Each : Body.QueuedPrompts) {
    EngineWork::Waiting &Waiting = *Out.add_in_lane();
    Waiting.set_request(Each.Request);
    Waiting.set_tokens(Each.Tokens);
    Waiting.set_read_ms(static_cast<float>(Each.PrefillMs));
    Waiting.set_needed_ms(static_cast<float>(Each.NeededMs));
    Waiting.set_left_ms(static_cast<float>(Each.LeftMs));
  }
  for (const auto &Each : Body.Slowdowns) {
    EngineWork::Pace &Pace = *Out.add_paces();
    Pace.set_engine(Each.Engine.Value);
    Pace.set_factor(static_cast<float>(Each.Factor));
  }
  for (const auto &Each : Body.Distrusted) {
    EngineWork::Distrust &Distrust = *Out.add_distrusted();
    Distrust.set_engine(Each.Engine.Value);
    Distrust.set_since_ms(static_cast<float>(Each.SinceMs));
    Distrust.set_left_ms(static_cast<float>(Each.LeftMs));
  }
}

void write(const banyanpick::EngineLimits &Body, Envelope &Envelope) {
  EngineLimits &Out = *Envelope.mutable_engine_limits();
  for (const auto &Each : Body.LimitReports) {
    EngineLimits::Word &Word = *Out.add_words();
    Word.set_engine(Each.Engine.Value);
    if (Each.PerSecond)
      Word.set_per_second(*Each.PerSecond);
    Word.set_age_ms(Each.AgeMs);
  }
  for (const auto &Each : Body.LeaseRequests) {
    EngineLimits::Ask &Ask = *Out.add_asks();
    Ask.set_engine(Each.Engine.Value);
    Ask.set_number(Each.Number);
    Ask.set_count(Each.Count);
  }
  for (const auto &Each : Body.Leases) {
    EngineLimits::Loan &Loan = *Out.add_loans();
    Loan.set_engine(Each.Engine.Value);
    Loan.set_number(Each.Number);
    Loan.set_count(Each.Count);
    Loan.set_later_ms(Each.RetryAfterMs);
  }
  for (const auto &Each : Body.Returns) {
    EngineLimits::Return &Return = *Out.add_returns();
    Return.set_engine(Each.Engine.Value);
    Return.set_number(Each.Number);
    Return.set_count(Each.Count);
  }
}

void write(const banyanpick::EngineSignals &Body, Envelope &Envelope) {
  EngineSignals &Out = *Envelope.mutable_engine_signals();
  for (const auto &Each : Body.Backoffs) {
    EngineSignals::Rest &Rest = *Out.add_rests();
    Rest.set_engine(Each.Engine.Value);
    Rest.set_left_ms(Each.LeftMs);
  }
  for (const UpstreamId &Each : Body.Leaving)
    Out.add_leaving(Each.Value);
}

banyanpick::EnginesRelayed read(const EnginesRelayed &In) {
  banyanpick::EnginesRelayed Result;
  Result.UpTo = In.up_to();
  Result.Complete = In.complete();
  for (const EnginesRelayed::Change &Each : In.changes()) {
    EngineChange Item;
    Item.Engine.Id.Value = Each.id();
    Item.Engine.Service.Value = Each.service();
    Item.Engine.At = read(Each.at());
    Item.Engine.Zone.Value = Each.zone();
    Item.Engine.Slots = Each.slots();
    Item.Engine.Draining = Each.draining();
    Item.Removed = Each.removed();
    Item.Offset = Each.offset();
    Result.Changes.push_back(std::move(Item));
  }
  return Result;
}

banyanpick::EngineWork read(const EngineWork &In) {
  banyanpick::EngineWork Result;
  for (const EngineWork::Item &Each : In.items()) {
    Result.Items.push_back({UpstreamId(Each.engine()),
                            checkedNumber(Each.read_ms()),
                            Each.reading(),
                            Each.writing(),
                            Each.memory_tokens(),
                            Each.short_running(),
                            {}});
    for (const EngineWork::Answers &One : Each.held())
      Result.Items.back().ActiveAnswers.push_back(
          {checkedNumber(One.pause_ms()), checkedNumber(One.value_ms())});
  }
  for (const EngineWork::Waiting &Each : In.in_lane())
    Result.QueuedPrompts.push_back(
        {Each.request(), Each.tokens(), checkedNumber(Each.read_ms()),
         checkedNumber(Each.needed_ms()), checkedNumber(Each.left_ms())});
  for (const EngineWork::Pace &Each : In.paces())
    Result.Slowdowns.push_back(
        {UpstreamId(Each.engine()), checkedNumber(Each.factor())});
  for (const EngineWork::Distrust &Each : In.distrusted())
    Result.Distrusted.push_back({UpstreamId(Each.engine()),
                                 checkedNumber(Each.since_ms()),
                                 checkedNumber(Each.left_ms())});
  return Result;
}

banyanpick::EngineLimits read(const EngineLimits &In) {
  banyanpick::EngineLimits Result;
  for (const EngineLimits::Word &Each : In.words()) {
    const auto PerSecond =
        Each.has_per_second()
            ? std::optional(std::max(checkedNumber(Each.per_second()), 0.0))
            : std::nullopt;
    Result.LimitReports.push_back({UpstreamId(Each.engine()), PerSecond,
                                   checkedMilliseconds(Each.age_ms())});
  }
  for (const EngineLimits::Ask &Each : In.asks())
    Result.LeaseRequests.push_back(
        {UpstreamId(Each.engine()), Each.number(), Each.count()});
  for (const EngineLimits::Loan &Each : In.loans())
    Result.Leases.push_back({UpstreamId(Each.engine()), Each.number(),
                             Each.count(),
                             checkedMilliseconds(Each.later_ms())});
  for (const EngineLimits::Return &Each : In.returns())
    Result.Returns.push_back(
        {UpstreamId(Each.engine()), Each.number(), Each.count()});
  return Result;
}

banyanpick::EngineSignals read(const EngineSignals &In) {
  banyanpick::EngineSignals Result;
  for (const EngineSignals::Rest &Each : In.rests())
    Result.Backoffs.push_back(
        {UpstreamId(Each.engine()), checkedMilliseconds(Each.left_ms())});
  for (const std::string &Each : In.leaving())
    Result.Leaving.emplace_back(Each);
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
  for (const Rumour &Each : In.rumours())
    Result.Updates.push_back(
        {HostId(Each.host()), Incarnation(Each.life()), Each.version(),
         checkedEnum(Each.state(), MemberState::Leaving), Each.ready()});
  for (const Listing &Each : In.known())
    Result.KnownHosts.push_back(read(Each));
  Result.EnginesKnownTo = In.engines_known_to();
  Result.EnginesDigest = In.engines_digest();
  // Older than a day is as good as that, and can't overflow a time.
  constexpr std::uint64_t OldestUs = 86'400'000'000;
  if (In.has_store_age_us())
    Result.StoreAge = Duration(std::min(In.store_age_us(), OldestUs));
  Result.Late = Duration(std::min(In.late_us(), OldestUs));
  return Result;
}

banyanpick::WorkSent read(const WorkSent &In) {
  banyanpick::WorkSent Result;
  for (const WorkSent::Item &Each : In.items())
    Result.Items.push_back(
        {UpstreamId(Each.engine()), Each.prefill_tokens(), Each.requests()});
  return Result;
}

banyanpick::TeamUsage read(const TeamUsage &In) {
  banyanpick::TeamUsage Result;
  Result.Epoch = In.epoch();
  for (const TeamUsage::Item &Each : In.items())
    Result.Items.push_back(
        {TeamId(Each.team()), checkedNumber(Each.service_tokens()),
         checkedNumber(Each.demand_requests()),
         checkedNumber(Each.demand_tokens()), Each.concurrent(), Each.lane()});
  return Result;
}

banyanpick::LimitShare read(const LimitShare &In) {
  return {TeamId(In.team()), In.transfer(), checkedNumber(In.fraction()),
          timeFromWire(In.valid_from_us()), In.view()};
}

banyanpick::RecordsRelayed read(const RecordsRelayed &In) {
  banyanpick::RecordsRelayed Result;
  for (const StoredRecord &Each : In.records())
    Result.Records.push_back(fromWire(Each));
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
